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

// Stream is a response whose body is read as it arrives, on a connection of its
// own. It must be read and closed by one goroutine. When the context given to
// Open is done, a pending Read fails.
type Stream struct {
	Status int
	resp   *fasthttp.Response
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
func (s *Stream) Header(name string) string { return string(s.resp.Header.Peek(name)) }

// ContentLength returns the announced length of the body, or a negative number.
func (s *Stream) ContentLength() int { return s.resp.Header.ContentLength() }

// Read reads the next bytes of the body.
func (s *Stream) Read(p []byte) (int, error) {
	if s.pace.minRate > 0 {
		if err := s.conn.SetReadDeadline(s.pace.deadline(time.Now())); err != nil {
			return 0, err
		}
	}
	n, err := s.resp.BodyStream().Read(p)
	s.pace.read += n
	return n, err
}

// Close ends the stream and its connection.
func (s *Stream) Close() {
	s.detach()
	// The rest of the response is discarded, so an error has no consequence.
	_ = s.conn.Close()
	fasthttp.ReleaseResponse(s.resp)
}

// Open sends a request on a new connection and returns once the status line and
// the headers of the response have arrived; r.Timeout limits the time until then.
// The caller must close the stream.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, error) {
	return c.open(ctx, r, true)
}

// Exchange sends a request on a new connection and returns the complete response,
// whatever its status. The connection is new because a request sent on an idle
// connection is lost if the server has just closed it. r.Timeout limits the whole
// exchange.
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
	r.copyTo(req)
	req.SetConnectionClose()
	deadline := time.Now().Add(r.Timeout)
	conn, err := c.dial(ctx, string(req.URI().Host()))
	if err != nil {
		return nil, &Error{Op: r.op(), Kind: KindNotSent, Cause: eris.Wrap(err, "dial")}
	}
	s := &Stream{conn: conn, resp: fasthttp.AcquireResponse()}
	s.resp.StreamBody = stream
	s.detach = context.AfterFunc(ctx, func() {
		// Closing makes pending reads and writes fail; an error of Close
		// itself has no consequence.
		_ = conn.Close()
	})
	if err := s.exchange(req, deadline, c.opts.MaxResponseBytes); err != nil {
		kind := KindNoAnswer
		if conn.written == 0 {
			kind = KindNotSent
		}
		s.Close()
		return nil, &Error{Op: r.op(), Kind: kind, Cause: eris.Wrap(err, "exchange")}
	}
	s.Status = s.resp.StatusCode()
	s.pace = pace{minRate: r.MinBodyRate, gap: r.Timeout, start: time.Now()}
	return s, nil
}

func (c *Client) dial(ctx context.Context, address string) (*countingConn, error) {
	conn, err := c.opts.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

var errNoBodyLength = eris.New("response has neither Content-Length nor chunked encoding, so its end can't be determined")

// exchange writes the request and reads the response, or only its status line and
// headers if the body is streamed.
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
	r := &eofReader{r: s.conn}
	if err := s.resp.ReadLimitBody(bufio.NewReader(r), maxBody); err != nil {
		return err
	}
	if !s.resp.StreamBody && r.sawEOF {
		return errNoBodyLength
	}
	return s.conn.SetDeadline(time.Time{})
}

// eofReader records whether the underlying reader has returned io.EOF. A response
// with a length or in chunks is read without reaching it.
type eofReader struct {
	r      io.Reader
	sawEOF bool
}

// Read reads from the underlying reader.
func (e *eofReader) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err == io.EOF {
		e.sawEOF = true
	}
	return n, err
}

func (r Request) op() string { return r.Method + " " + r.URL }
