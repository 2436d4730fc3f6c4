package feed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// plainBytes is the size of a page up to which it is passed on as it is,
	// packBytes the one up to which it is packed, and passBytes the size of a
	// packed page up to which it is passed on: every host that a reader feeds
	// gets it over the reader's link, while the store has a wide one.
	plainBytes = 2 << 10
	packBytes  = 512 << 10
	passBytes  = 48 << 10
	// maxPageBytes bounds a page that is unpacked.
	maxPageBytes = 4 << 20
	// changeBytes is what a change takes beside its key and value.
	changeBytes = 16
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
		n += changeBytes + len(c.Key) + len(c.Value)
	}
	return n
}

// pack returns the changes of a page in few bytes.
func (p Page) pack() ([]byte, error) {
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

// Open returns the page of an answer. An answer that can't be read is an *Error.
func (a Response) Open() (Page, error) {
	p := a.Page
	if len(a.Packed) == 0 {
		return p, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(a.Packed)), maxPageBytes+1))
	if err != nil {
		return Page{}, &Error{Op: "open", Cause: err}
	}
	if len(plain) > maxPageBytes {
		return Page{}, &Error{Op: "open", Cause: fmt.Errorf("got a page of over %d bytes", maxPageBytes)}
	}
	if err := cbor.Unmarshal(plain, &p.Changes); err != nil {
		return Page{}, &Error{Op: "open", Cause: err}
	}
	return p, nil
}
