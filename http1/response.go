package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
)

const (
	// maxHeadBytes bounds the head of a response together with the interim ones before it.
	maxHeadBytes = 32 << 10
	// headBufferBytes is the size of a typical head with the begin of its body.
	headBufferBytes = 2 << 10
	bodyBufferBytes = 4 << 10
)

var (
	headEnd          = []byte("\r\n\r\n")
	errHeadTooLarge  = errors.New("head exceeds 32 KiB")
	errTooManyFields = errors.New("head exceeds 256 fields")
)

// ReadResponse reads the head of the response to a request with the given method, after any
// interim responses. The body of the response reads on; it ends with io.EOF only if it is
// whole, provided that r returns io.EOF only at an orderly end of the connection. The error
// is an *Error.
func ReadResponse(r io.Reader, method string) (*http.Response, error) {
	h := headReader{r: r, buf: make([]byte, 0, headBufferBytes)}
	status, err := h.readFinal()
	if err != nil {
		return nil, err
	}
	body := io.MultiReader(bytes.NewReader(h.buf), r)
	resp, err := http.ReadResponse(bufio.NewReaderSize(body, bodyBufferBytes), &http.Request{Method: method})
	if err != nil {
		return nil, &Error{Op: "parse head", Kind: KindMalformed, Cause: err}
	}
	if resp.StatusCode != status {
		_ = resp.Body.Close()
		return nil, malformed("got status %d and %d", status, resp.StatusCode)
	}
	return resp, nil
}

// headReader reads heads from a connection.
type headReader struct {
	r io.Reader
	// buf has the bytes from the begin of the current head on.
	buf []byte
	// skipped is the size of the interim responses before it.
	skipped int
}

// readFinal reads up to the head of the final response, with which the buffer begins then.
func (h *headReader) readFinal() (status int, err error) {
	for {
		n, err := h.readHead()
		if err != nil {
			return 0, err
		}
		if err := h.checkSize(n); err != nil {
			return 0, err
		}
		status, err := checkHead(h.buf[:n])
		if err != nil || status >= http.StatusOK {
			return status, err
		}
		h.buf = h.buf[n:]
		h.skipped += n
	}
}

// readHead reads a head and returns its size.
func (h *headReader) readHead() (size int, err error) {
	searched := 0
	for {
		if i := bytes.Index(h.buf[searched:], headEnd); i >= 0 {
			return searched + i + len(headEnd), nil
		}
		searched = max(len(h.buf)-len(headEnd)+1, 0)
		if err := h.checkSize(len(h.buf)); err != nil {
			return 0, err
		}
		if err := h.readMore(); err != nil {
			return 0, err
		}
	}
}

// checkSize returns an error if a head of size bytes and the interim responses before it are
// too large.
func (h *headReader) checkSize(size int) error {
	if h.skipped+size > maxHeadBytes {
		return &Error{Op: "read head", Kind: KindTooLarge, Cause: errHeadTooLarge}
	}
	return nil
}

func (h *headReader) readMore() error {
	if len(h.buf) == cap(h.buf) {
		h.buf = slices.Grow(h.buf, headBufferBytes)
	}
	n, err := h.r.Read(h.buf[len(h.buf):cap(h.buf)])
	h.buf = h.buf[:len(h.buf)+n]
	if n > 0 || err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Error{Op: "read head", Kind: KindCut, Cause: err}
}
