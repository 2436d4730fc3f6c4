package jsonhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushshed/http1"
)

// Stream is a response whose body is read as it arrives, on a connection of its
// own. It must be read and closed by one goroutine. When the context given to
// Open is done, a pending Read fails.
type Stream struct {
	Status int
	resp   *http.Response
	conn   *countingConn
	// detach stops the context from closing the connection.
	detach func() bool
	// pace bounds the time in which the body must arrive.
	pace pace
}

// pace bounds how slowly a body may arrive. The zero value sets no bound.
type pace struct {
	minRate int
	gap     time.Duration
	start   time.Time
	read    int
}

// deadline returns the time by which the next bytes of the body must arrive.
func (p *pace) deadline(now time.Time) time.Time {
	average := p.start.Add(p.gap + time.Duration(float64(p.read)/float64(p.minRate)*float64(time.Second)))
	if next := now.Add(p.gap); next.Before(average) {
		return next
	}
	return average
}

// countingConn counts the bytes written to a connection.
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

// Header returns the first value of a header of the response.
func (s *Stream) Header(name string) string { return s.resp.Header.Get(name) }

// ContentLength returns the announced length of the body, or a negative number.
func (s *Stream) ContentLength() int { return int(s.resp.ContentLength) }

// Read reads the next bytes of the body.
func (s *Stream) Read(p []byte) (int, error) {
	if s.pace.minRate > 0 {
		if err := s.conn.SetReadDeadline(s.pace.deadline(time.Now())); err != nil {
			return 0, err
		}
	}
	n, err := s.resp.Body.Read(p)
	s.pace.read += n
	return n, err
}

// Close ends the stream and its connection.
func (s *Stream) Close() {
	s.detach()
	// The rest of the response is discarded, so an error has no consequence.
	_ = s.conn.Close()
}

// Open sends a request on a new connection and returns once the status line and
// the headers of the response have arrived; r.Timeout limits the time until then.
// The caller must close the stream.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, error) {
	s, err := c.open(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := s.conn.SetDeadline(time.Time{}); err != nil {
		s.Close()
		return nil, r.noAnswer(err)
	}
	s.pace = pace{minRate: r.MinBodyRate, gap: r.Timeout, start: time.Now()}
	return s, nil
}

// Exchange sends a request on a new connection and returns the complete response,
// whatever its status. The connection is new because a request sent on an idle
// connection is lost if the server has just closed it, and because a server that responds
// twice can't be noticed before its second response is taken for that of the next request.
// r.Timeout limits the whole exchange.
func (c *Client) Exchange(ctx context.Context, r Request) (*Response, error) {
	s, err := c.open(ctx, r)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	body, err := s.readBody(c.opts.MaxResponseBytes)
	if err != nil {
		return nil, r.noAnswer(err)
	}
	return &Response{Status: s.Status, ContentType: s.Header("Content-Type"), Body: body, header: s.resp.Header}, nil
}

// open sends a request and returns the response once its head has arrived. The deadline of
// the connection is that of the request.
func (c *Client) open(ctx context.Context, r Request) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.copyTo(req)
	deadline := time.Now().Add(r.Timeout)
	dialed, err := c.opts.dial(ctx, req.URI())
	if err != nil {
		return nil, &Error{Op: r.op(), Kind: KindNotSent, Cause: eris.Wrap(err, "dial")}
	}
	conn := &countingConn{Conn: dialed}
	s := &Stream{conn: conn}
	s.detach = context.AfterFunc(ctx, func() {
		// Closing makes pending reads and writes fail; an error of Close
		// itself has no consequence.
		_ = conn.Close()
	})
	if err := s.exchange(req, deadline); err != nil {
		s.Close()
		if conn.written == 0 {
			return nil, &Error{Op: r.op(), Kind: KindNotSent, Cause: eris.Wrap(err, "send")}
		}
		return nil, r.noAnswer(err)
	}
	return s, nil
}

// exchange writes the request and reads the head of the response.
func (s *Stream) exchange(req *fasthttp.Request, deadline time.Time) (err error) {
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
	s.resp, err = http1.ReadResponse(s.conn, string(req.Header.Method())) //nolint:bodyclose // Close closes the connection of the body
	if err != nil {
		return err
	}
	s.Status = s.resp.StatusCode
	return nil
}

var errNoBodyLength = eris.New("response has neither Content-Length nor chunked encoding, so its end can't be determined")

// readBody reads the whole body, of at most limit bytes.
func (s *Stream) readBody(limit int) ([]byte, error) {
	if s.resp.Body == http.NoBody {
		return nil, nil
	}
	if s.resp.ContentLength > int64(limit) {
		return nil, errTooLarge
	}
	if s.resp.ContentLength < 0 && len(s.resp.TransferEncoding) == 0 {
		return nil, errNoBodyLength
	}
	body, err := io.ReadAll(io.LimitReader(s.resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		return nil, errTooLarge
	}
	return body, err
}

// noAnswer returns the error for a request that may have reached the server.
func (r Request) noAnswer(err error) *Error {
	return &Error{Op: r.op(), Kind: KindNoAnswer, Cause: eris.Wrap(err, "exchange")}
}

func (r Request) op() string { return r.Method + " " + r.URL }
