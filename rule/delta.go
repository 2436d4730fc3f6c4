package rule

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Delta encodes a rule file as an edit of an earlier version.
type Delta struct {
	Base Version `cbor:"base"`
	// Prefix and Suffix are the numbers of leading and trailing bytes that
	// are shared with the base text.
	Prefix int `cbor:"prefix"`
	Suffix int `cbor:"suffix"`
	// Middle replaces the bytes of the base between prefix and suffix.
	Middle string `cbor:"middle"`
	// Checksum is the xxhash of the complete new text.
	Checksum uint64 `cbor:"sum"`
}

// NewDelta returns the delta that turns before, which is the text of version
// base, into after.
func NewDelta(base Version, before, after string) Delta {
	prefix := 0
	for prefix < min(len(before), len(after)) && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	maxSuffix := min(len(before), len(after)) - prefix
	for suffix < maxSuffix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return Delta{
		Base: base, Prefix: prefix, Suffix: suffix,
		Middle: after[prefix : len(after)-suffix], Checksum: xxhash.Sum64String(after),
	}
}

var errDeltaMismatch = errors.New("rule delta does not match the base text")

// Apply returns the new text. It fails if before is not the base text that
// the delta was made from.
func (d Delta) Apply(before string) (string, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(before) {
		return "", errDeltaMismatch
	}
	text := strings.Join([]string{before[:d.Prefix], d.Middle, before[len(before)-d.Suffix:]}, "")
	if xxhash.Sum64String(text) != d.Checksum {
		return "", errDeltaMismatch
	}
	return text, nil
}
