package history

import "fmt"

// Token is one token as its caller got it.
type Token struct {
	Position int
	Text     string
}

// CheckStream returns what is wrong with a whole answer, or "". Each position
// must come once, in order, with the token that is expected there.
func CheckStream(got []Token, want []string) string {
	for i, t := range got {
		if t.Position != i {
			return fmt.Sprintf("got position %d, want %d", t.Position, i)
		}
		if i >= len(want) {
			return fmt.Sprintf("got a token at %d, want only %d", i, len(want))
		}
		if t.Text != want[i] {
			return fmt.Sprintf("got token %q at %d, want %q", t.Text, i, want[i])
		}
	}
	if len(got) != len(want) {
		return fmt.Sprintf("got %d tokens, want %d", len(got), len(want))
	}
	return ""
}
