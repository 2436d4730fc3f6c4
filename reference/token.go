package reference

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// InitialState returns the state of a token before the first layer, given the
// model version, the prompt, the position and the previous token.
func InitialState(version, prompt string, position int, previous string) uint64 {
	return xxhash.Sum64String(version + "\x00" + prompt + "\x00" + strconv.Itoa(position) + "\x00" + previous)
}

// ApplyLayer returns the state after layer n. Skipping, repeating or
// reordering layers changes every later state.
func ApplyLayer(state uint64, n int) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(state, 16) + ":" + strconv.Itoa(n))
}

// TokenText returns the token for the state after the last layer.
func TokenText(state uint64) string { return fmt.Sprintf("%08x ", uint32(state)) }

// Tokens returns the n tokens with which a model of the given number of layers
// must answer.
func Tokens(version, prompt string, layers, n int) []string {
	tokens := make([]string, 0, n)
	previous := ""
	for position := range n {
		state := InitialState(version, prompt, position, previous)
		for l := range layers {
			state = ApplyLayer(state, l)
		}
		previous = TokenText(state)
		tokens = append(tokens, previous)
	}
	return tokens
}
