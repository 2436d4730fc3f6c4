package history

import "fmt"

// Token is a token as received by a caller.
type Token struct {
	Position int
	Text     string
}

// CheckStream compares the tokens of a complete stream with the expected ones and
// describes the first difference, or returns "". Each position must occur once,
// in order, with the expected token.
func CheckStream(got []Token, want []string) string {
	for i, t := range got {
		if t.Position != i {
			return fmt.Sprintf("got a token at position %d, want position %d", t.Position, i)
		}
		if i >= len(want) {
			return fmt.Sprintf("got a token at position %d, want only %d tokens", i, len(want))
		}
		if t.Text != want[i] {
			return fmt.Sprintf("got token %q at position %d, want %q", t.Text, i, want[i])
		}
	}
	if len(got) != len(want) {
		return fmt.Sprintf("got %d tokens, want %d", len(got), len(want))
	}
	return ""
}
