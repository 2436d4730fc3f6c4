package reference

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Seed is the state of a token before its first layer. It depends on the
// version of the model, the prompt, the position and the token before.
func Seed(version, prompt string, position int, before string) uint64 {
	return xxhash.Sum64String(version + "\x00" + prompt + "\x00" + strconv.Itoa(position) + "\x00" + before)
}

// Layer runs one layer. Skipping, repeating or swapping a layer changes every
// state behind it.
func Layer(state uint64, n int) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(state, 16) + ":" + strconv.Itoa(n))
}

// Spell returns the token of the state behind the last layer.
func Spell(state uint64) string { return fmt.Sprintf("%08x ", uint32(state)) }

// Tokens returns the n tokens that a model of so many layers must answer with,
// each of which depends on every layer run once, in order.
func Tokens(version, prompt string, layers, n int) []string {
	tokens := make([]string, 0, n)
	before := ""
	for position := range n {
		state := Seed(version, prompt, position, before)
		for l := range layers {
			state = Layer(state, l)
		}
		before = Spell(state)
		tokens = append(tokens, before)
	}
	return tokens
}
