package rule

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Delta is a rule file as a change of an earlier version.
type Delta struct {
	Base Version `cbor:"base"`
	// Prefix and Suffix are how many bytes of the base's start and end stay.
	Prefix int `cbor:"prefix"`
	Suffix int `cbor:"suffix"`
	// Middle stands in place of what lies between them.
	Middle string `cbor:"middle"`
	// Sum is the xxhash of the whole new text.
	Sum uint64 `cbor:"sum"`
}

// NewDelta returns what turns one text into another.
func NewDelta(base Version, before, after string) Delta {
	prefix := 0
	for prefix < min(len(before), len(after)) && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	room := min(len(before), len(after)) - prefix
	for suffix < room && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return Delta{
		Base: base, Prefix: prefix, Suffix: suffix,
		Middle: after[prefix : len(after)-suffix], Sum: xxhash.Sum64String(after),
	}
}

var errDelta = errors.New("the delta is not of this text")

// Apply returns the new text; it fails if the delta is of another base.
func (d Delta) Apply(before string) (string, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(before) {
		return "", errDelta
	}
	text := strings.Join([]string{before[:d.Prefix], d.Middle, before[len(before)-d.Suffix:]}, "")
	if xxhash.Sum64String(text) != d.Sum {
		return "", errDelta
	}
	return text, nil
}
