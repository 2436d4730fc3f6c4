package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxHashedBytes is the number of bytes at each end of a body that its fingerprint covers.
// Bodies that differ only in between are told apart by their length alone.
const maxHashedBytes = 32 << 10

// Call identifies a request that may come again.
type Call struct {
	// Customer is the owner of the caller's key, or "".
	Customer string
	Method   string
	// Target is the host, path and query.
	Target string
	// Prompt is a hash of all parts of the prompt, or 0 if there is none.
	Prompt uint64
	Body   []byte
}

// Fingerprint returns a hash of the call. The time that it takes is bounded, however large
// the body is.
func (c Call) Fingerprint() uint64 {
	h := xxhash.New()
	// Writing to a hash.Hash never fails.
	write := func(b []byte) { _, _ = h.Write(b) }
	for _, text := range []string{c.Customer, c.Method, c.Target} {
		write([]byte(text))
		write([]byte{0})
	}
	write(binary.BigEndian.AppendUint64(nil, c.Prompt))
	write(binary.BigEndian.AppendUint64(nil, uint64(len(c.Body))))
	if len(c.Body) <= 2*maxHashedBytes {
		write(c.Body)
	} else {
		write(c.Body[:maxHashedBytes])
		write(c.Body[len(c.Body)-maxHashedBytes:])
	}
	return h.Sum64()
}
