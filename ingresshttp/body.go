package ingresshttp

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
	"bulrushshed/intake"
)

const (
	// firstAnnounced and firstChunked are the sizes of the first buffer of a body whose
	// length is announced, unless it is shorter, and of a chunked one. The next buffers are
	// larger by the growth factors. Doubling would copy a body of 4 MiB once more on average,
	// but a chunked body may end at any size.
	firstAnnounced  = 32 << 10
	firstChunked    = 8 << 10
	announcedGrowth = 16
	chunkedGrowth   = 2
	// progressBytes is the number of bytes after which the progress of a body is recorded.
	progressBytes = 16 << 10
	// paceStep is how far the deadline of a body is extended at once.
	paceStep = time.Second
	// discardBytes and discardTimeout bound what is read of a body whose request has been
	// answered, so that its connection can be kept.
	discardBytes   = 64 << 10
	discardTimeout = 200 * time.Millisecond
)

// receiveBody reads the body of a request, whose memory is reserved before. It responds and
// returns false if the request is rejected.
func (s *Server) receiveBody(ctx *fasthttp.RequestCtx, conn *watchedConn, req *forward.Request) bool {
	h := &ctx.Request.Header
	rejected := s.takeRejection(h)
	if conn.memory.refused || conn.evicted.Load() {
		return s.rejectBody(ctx, conn, newRefusal(causeMemory, nil))
	}
	if rejected != nil {
		s.reject(ctx, conn, rejected)
		s.discardBody(ctx, conn)
		return false
	}
	if hasBody(h) {
		r := s.newBodyReader(ctx, conn)
		if refused := r.read(); refused != nil {
			return s.rejectBody(ctx, conn, refused)
		}
		req.Body = r.buf
	}
	if !conn.memory.ledger.Complete(&conn.memory.entry) {
		return s.rejectBody(ctx, conn, newRefusal(causeMemory, nil))
	}
	return true
}

// rejectBody responds to a request whose body was not read to its end.
func (s *Server) rejectBody(ctx *fasthttp.RequestCtx, conn *watchedConn, r *refusal) bool {
	s.refuse(ctx, r)
	if r.cause == causeMemory && !conn.evicted.Load() || r.cause == causeTooLarge {
		s.discardBody(ctx, conn)
	} else {
		s.closeAfterAnswer(ctx)
	}
	return false
}

// discardBody reads the rest of a body if it is short and arrives soon. Otherwise the
// connection is closed after the response, as the rest would be taken for the next request.
func (s *Server) discardBody(ctx *fasthttp.RequestCtx, conn *watchedConn) {
	body := ctx.RequestBodyStream()
	if body == nil {
		return
	}
	if ctx.Request.Header.ContentLength() <= discardBytes && conn.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		n, err := io.Copy(io.Discard, io.LimitReader(body, discardBytes+1))
		if err == nil && n <= discardBytes {
			return
		}
	}
	s.closeAfterAnswer(ctx)
}

// bodyReader reads the body of a request into a buffer.
type bodyReader struct {
	conn   *watchedConn
	memory *requestMemory
	pace   intake.Pace
	stream io.Reader
	// announced is the length of the body, or -1. limit is the largest allowed length.
	announced int
	limit     int
	buf       []byte
	// startedAt is when the reading began, postponed by waits for memory.
	startedAt time.Time
	// paceAt is the number of bytes at which the deadline is set again, and recorded is the
	// number whose arrival the ledger knows.
	paceAt   int
	recorded int
}

func (s *Server) newBodyReader(ctx *fasthttp.RequestCtx, conn *watchedConn) bodyReader {
	return bodyReader{
		conn: conn, memory: &conn.memory, pace: s.opts.BodyPace, stream: ctx.RequestBodyStream(),
		announced: ctx.Request.Header.ContentLength(), limit: s.bodyLimit(), startedAt: time.Now(),
	}
}

// read reads the body to its end. Otherwise it releases the memory at once.
func (r *bodyReader) read() *refusal {
	if r.stream == nil {
		return newRefusal(causeMalformed, io.ErrUnexpectedEOF)
	}
	refused := r.readAll()
	if refused != nil {
		r.memory.ledger.Return(&r.memory.entry, cap(r.buf), time.Now())
		r.buf = nil
	}
	return refused
}

func (r *bodyReader) readAll() *refusal {
	for {
		if len(r.buf) == cap(r.buf) {
			ended, refused := r.grow()
			if ended || refused != nil {
				return refused
			}
		}
		if err := r.extendDeadline(); err != nil {
			return r.refusalOf(err)
		}
		n, err := r.stream.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		if errors.Is(err, io.EOF) {
			return r.end()
		}
		if err != nil {
			return r.refusalOf(err)
		}
		if len(r.buf)-r.recorded >= progressBytes {
			r.recordProgress()
		}
	}
}

// end checks that the body is complete.
func (r *bodyReader) end() *refusal {
	if r.announced >= 0 && len(r.buf) != r.announced {
		return newRefusal(causeMalformed, io.ErrUnexpectedEOF)
	}
	return nil
}

// size returns the largest size that the buffer may have.
func (r *bodyReader) size() int {
	if r.announced >= 0 {
		return r.announced
	}
	return r.limit
}

// nextSize returns the size of the buffer that follows one of the given size.
func (r *bodyReader) nextSize(size int) int {
	if r.announced >= 0 {
		return min(max(announcedGrowth*size, firstAnnounced), r.size())
	}
	return min(max(chunkedGrowth*size, firstChunked), r.size())
}

// grow replaces a full buffer by a larger one, or reads the end of the body if it may not
// become longer. It returns true once the body has ended.
func (r *bodyReader) grow() (ended bool, _ *refusal) {
	old := cap(r.buf)
	if old == r.size() {
		return r.readEnd()
	}
	r.recordProgress()
	larger := r.nextSize(old)
	waited, ok := r.memory.reserve(larger)
	if !ok {
		return false, newRefusal(causeMemory, nil)
	}
	if waited > 0 {
		r.startedAt = r.startedAt.Add(waited)
		r.paceAt = 0
	}
	buf := make([]byte, len(r.buf), larger)
	copy(buf, r.buf)
	r.buf = buf
	if old > 0 {
		r.memory.ledger.Return(&r.memory.entry, old, time.Now())
	}
	return false, nil
}

// readEnd reads the end of a body that has reached its largest size.
func (r *bodyReader) readEnd() (ended bool, _ *refusal) {
	var surplus [1]byte
	for {
		if err := r.extendDeadline(); err != nil {
			return false, r.refusalOf(err)
		}
		n, err := r.stream.Read(surplus[:])
		switch {
		case n > 0:
			return false, newRefusal(causeTooLarge, nil)
		case errors.Is(err, io.EOF):
			return true, r.end()
		case err != nil:
			return false, r.refusalOf(err)
		}
	}
}

// recordProgress tells the ledger what has arrived.
func (r *bodyReader) recordProgress() {
	if n := len(r.buf) - r.recorded; n > 0 {
		r.memory.ledger.Arrived(&r.memory.entry, n, time.Now())
		r.recorded = len(r.buf)
	}
}

// extendDeadline sets the deadline of the next bytes if enough has arrived since it was set.
func (r *bodyReader) extendDeadline() error {
	if len(r.buf) < r.paceAt {
		return nil
	}
	r.paceAt = len(r.buf) + max(int(paceStep.Seconds()*float64(r.pace.BytesPerSecond)), 1)
	return r.conn.SetReadDeadline(r.startedAt.Add(r.pace.Allowance(len(r.buf)) + paceStep))
}

// refusalOf returns the refusal for an error of the connection or of the framing.
func (r *bodyReader) refusalOf(err error) *refusal {
	switch {
	case r.conn.evicted.Load():
		return newRefusal(causeMemory, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(causeSlowBody, err)
	}
	return newRefusal(causeMalformed, err)
}
