package feed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// Pages up to maxPlainBytes are sent uncompressed, pages up to
	// maxCompressInput are compressed, and compressed pages up to maxRelayBytes
	// are relayed. Followers fetch anything larger from the store, because they
	// all receive relayed pages over the reading host's link, which is narrower
	// than the store's.
	maxPlainBytes    = 2 << 10
	maxCompressInput = 512 << 10
	maxRelayBytes    = 48 << 10
	// maxDecompressedBytes bounds a decompressed page.
	maxDecompressedBytes = 4 << 20
	// changeOverhead is the estimated encoded size of a change without its key
	// and value.
	changeOverhead = 16
)

// Error is the only error type of this package.
type Error struct {
	Op    string
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("feed %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func (p Page) size() int {
	n := 0
	for _, c := range p.Changes {
		n += changeOverhead + len(c.Key) + len(c.Value)
	}
	return n
}

// compress returns the encoded and compressed changes of a page.
func (p Page) compress() ([]byte, error) {
	plain, err := cbor.Marshal(p.Changes)
	if err != nil {
		return nil, &Error{Op: "pack", Cause: err}
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, &Error{Op: "pack", Cause: err}
	}
	if _, err := w.Write(plain); err != nil {
		return nil, &Error{Op: "pack", Cause: err}
	}
	if err := w.Close(); err != nil {
		return nil, &Error{Op: "pack", Cause: err}
	}
	return out.Bytes(), nil
}

// Open returns the page of a response, decompressing it if necessary. If the
// page cannot be decoded, the error is an *Error.
func (r Response) Open() (Page, error) {
	p := r.Page
	if len(r.Compressed) == 0 {
		return p, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Compressed)), maxDecompressedBytes+1))
	if err != nil {
		return Page{}, &Error{Op: "open", Cause: err}
	}
	if len(plain) > maxDecompressedBytes {
		return Page{}, &Error{Op: "open", Cause: fmt.Errorf("decompressed page exceeds %d bytes", maxDecompressedBytes)}
	}
	if err := cbor.Unmarshal(plain, &p.Changes); err != nil {
		return Page{}, &Error{Op: "open", Cause: err}
	}
	return p, nil
}
