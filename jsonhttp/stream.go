package jsonhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Stream is an answer that is still arriving on a connection of its own. It
// is read and closed by one goroutine; ending the context of Open makes a
// Read that is under way fail.
type Stream struct {
	Status int
	resp   *fasthttp.Response
	conn   *countingConn
	stop   func() bool
}

// countingConn counts the bytes that were written to a connection.
type countingConn struct {
	net.Conn
	written int
}

// Write writes to the connection.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// Header returns the first value of a header of the answer.
func (s *Stream) Header(name string) string { return string(s.resp.Header.Peek(name)) }

// Read reads the next bytes of the answer's body.
func (s *Stream) Read(p []byte) (int, error) { return s.resp.BodyStream().Read(p) }

// Close ends the stream and its connection.
func (s *Stream) Close() {
	s.stop()
	// Nothing of the answer is wanted any more, so no error matters.
	_ = s.conn.Close()
	fasthttp.ReleaseResponse(s.resp)
}

// Open sends a request on a fresh connection and returns when the head of the
// answer is in, which Timeout bounds. The caller closes the stream.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, error) {
	return c.open(ctx, r, true)
}

// Exchange sends a request on a fresh connection, so that it can't be lost to
// one that the peer has closed meanwhile, and returns the whole answer of any
// status. Timeout bounds all of it.
func (c *Client) Exchange(ctx context.Context, r Request) (*Response, error) {
	s, err := c.open(ctx, r, false)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return newResponse(s.resp), nil
}

func (c *Client) open(ctx context.Context, r Request, stream bool) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.fill(req)
	req.SetConnectionClose()
	deadline := time.Now().Add(r.Timeout)
	conn, err := c.dial(ctx, string(req.URI().Host()))
	if err != nil {
		return nil, &Error{Op: r.op(), Kind: KindNotSent, Cause: eris.Wrap(err, "dial")}
	}
	s := &Stream{conn: conn, resp: fasthttp.AcquireResponse()}
	s.resp.StreamBody = stream
	s.stop = context.AfterFunc(ctx, func() {
		// Closing fails reads and writes that are under way; it can't fail
		// in a way that matters here.
		_ = conn.Close()
	})
	if err := s.exchange(req, deadline, c.opts.MaxBody); err != nil {
		kind := KindNoAnswer
		if conn.written == 0 {
			kind = KindNotSent
		}
		s.Close()
		return nil, &Error{Op: r.op(), Kind: kind, Cause: eris.Wrap(err, "exchange")}
	}
	s.Status = s.resp.StatusCode()
	return s, nil
}

func (c *Client) dial(ctx context.Context, address string) (*countingConn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

var errNoEnd = eris.New("got an answer whose end can't be told, want a length or chunks")

// exchange writes the request and reads the answer, or only its head if the
// body is to be streamed.
func (s *Stream) exchange(req *fasthttp.Request, deadline time.Time, maxBody int) error {
	if err := s.conn.SetDeadline(deadline); err != nil {
		return err
	}
	w := bufio.NewWriter(s.conn)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	r := &endingReader{r: s.conn}
	if err := s.resp.ReadLimitBody(bufio.NewReader(r), maxBody); err != nil {
		return err
	}
	if !s.resp.StreamBody && r.ended {
		return errNoEnd
	}
	return s.conn.SetDeadline(time.Time{})
}

// endingReader notes whether its reader came to the end. An answer with a
// length or in chunks is read without reaching it.
type endingReader struct {
	r     io.Reader
	ended bool
}

// Read reads from the reader below.
func (e *endingReader) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err == io.EOF {
		e.ended = true
	}
	return n, err
}

func (r Request) op() string { return r.Method + " " + r.URL }
