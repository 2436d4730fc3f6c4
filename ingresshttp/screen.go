package ingresshttp

import (
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
)

const (
	// prefetchBytes is how much of a body of announced length fasthttp reads before it calls
	// the handler. It reads nothing of a chunked body.
	prefetchBytes = 1
	// atOnce is a timeout that ends the next read unless its bytes are buffered.
	atOnce = time.Nanosecond
)

// rejection is how a request is rejected by its header alone: by a refusal of the server, or
// by a response of Options.Screen.
type rejection struct {
	refusal  *refusal
	response *forward.Response
}

// bodyLimit returns the maximum size of a body.
func (s *Server) bodyLimit() int { return maxBodyBytes }

// hasBody reports whether a request has a body that is not empty. The length is negative
// for a chunked body.
func hasBody(h *fasthttp.RequestHeader) bool { return h.ContentLength() > 0 || h.ContentLength() == -1 }

// screenHeader decides whether a request with a body is rejected by its header alone, and
// how long the first byte of its body may take. fasthttp reads this byte before it calls the
// handler, and calls the error handler if it does not arrive.
func (s *Server) screenHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if !hasBody(h) {
		return fasthttp.RequestConfig{}
	}
	r := s.rejectionOf(h)
	if r == nil {
		return fasthttp.RequestConfig{ReadTimeout: s.opts.BodyPace.Grace}
	}
	s.rejections.Store(h, r)
	if h.ContentLength() > discardBytes {
		return fasthttp.RequestConfig{ReadTimeout: atOnce}
	}
	return fasthttp.RequestConfig{ReadTimeout: discardTimeout}
}

// rejectionOf returns how a request is rejected by its header alone, or nil.
func (s *Server) rejectionOf(h *fasthttp.RequestHeader) *rejection {
	switch {
	case hasAmbiguousLength(h):
		// The handler rejects it, whatever its length.
		return nil
	case h.ContentLength() > s.bodyLimit():
		return &rejection{refusal: newRefusal(causeTooLarge, nil)}
	case s.opts.Screen == nil:
		return nil
	}
	if resp := s.opts.Screen(s.decodeHeader(h)); resp != nil {
		return &rejection{response: resp}
	}
	return nil
}

// takeRejection returns how the request with the given header was rejected, or nil.
func (s *Server) takeRejection(h *fasthttp.RequestHeader) *rejection {
	value, _ := s.rejections.LoadAndDelete(h)
	r, _ := value.(*rejection)
	return r
}

// reject responds to a request that is rejected by its header alone.
func (s *Server) reject(ctx *fasthttp.RequestCtx, conn *watchedConn, r *rejection) {
	if r.refusal != nil {
		s.refuse(ctx, r.refusal)
		return
	}
	s.writeResponse(ctx, conn, r.response, func() {})
}

// decideExpectation returns the status for a request that waits for 100 Continue.
func (s *Server) decideExpectation(ctx *fasthttp.RequestCtx) int {
	h := &ctx.Request.Header
	if hasAmbiguousLength(h) {
		return fasthttp.StatusBadRequest
	}
	r := s.takeRejection(h)
	switch {
	case r == nil:
		return fasthttp.StatusContinue
	case r.refusal != nil:
		s.record(r.refusal)
		return r.refusal.status
	case r.response.RetryAfter > 0:
		// The handler also sets Retry-After, which the status alone would lack.
		s.rejections.Store(h, r)
		return fasthttp.StatusContinue
	}
	_ = r.response.Body.Close()
	return r.response.Status
}
