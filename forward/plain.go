package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/outcome"
	"bulrushshed/replica"
)

// hedgeFraction is the fraction of a rule's target latency, Rule.Objective, after which
// a request that may run more than once is also sent to a second replica.
const hedgeFraction = 0.6

// plainCall is a request to a plain service being served.
type plainCall struct {
	*call
	ctx context.Context
	// results receives the result of each send; inFlight counts the sends that
	// have not ended.
	results  chan sendResult
	inFlight int
	// unreachable counts the replicas that could not be reached.
	unreachable int
	// lastFailure is the latest answer with which a replica failed the request, or
	// nil.
	lastFailure *Response
}

// sendResult is the result of one send.
type sendResult struct {
	replica replica.Replica
	resp    *Response
	// ran is set if the replica has, or may have, run the request.
	ran bool
	// retryable is set if another replica may get the request.
	retryable bool
	cause     string
	// err is the error with which the answer broke off, or nil.
	err error
}

// servePlain serves a request by one replica. It uses another one if the first did not
// run the request or if the request may run more than once.
func (c *call) servePlain(ctx context.Context) *Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &plainCall{call: c, ctx: ctx, results: make(chan sendResult, c.rule.MaxAttempts+maxUnreachable+1)}
	for {
		cause := p.launch()
		if cause != "" && p.inFlight == 0 {
			return p.lastFailureOrGiveUp(cause)
		}
		result, ended := p.wait(cause == "")
		if !ended {
			continue
		}
		if resp := p.handleResult(result); resp != nil {
			return resp
		}
	}
}

// launch sends the request to one more replica. It returns why it can't, or "".
func (p *plainCall) launch() (cause string) {
	if err := p.reauthorize(); err != nil {
		return err.Error()
	}
	if p.ctx.Err() != nil || time.Until(p.deadline) < minRemaining {
		return causeDeadline
	}
	if p.sends >= p.rule.MaxAttempts || p.unreachable > maxUnreachable {
		return causeAttempts
	}
	if cause := p.whyQuarantined(p.f.Quarantine.Check(p.req.ID, p.features, time.Now())); cause != "" {
		return cause
	}
	r, pending, cause := p.pick()
	if cause != "" {
		return cause
	}
	d := p.f.Quarantine.Admit(p.req.ID, p.features, time.Now())
	if !d.Admitted || d.Trial && p.inFlight > 0 {
		pending.Cancel()
		p.returnAfterHold = d.ReturnAfter()
		return causeQuarantined
	}
	// While a send runs, its answer must not wait for the budget.
	if p.sends > 0 && !p.allowRetry(p.ctx, false, p.inFlight > 0) {
		pending.Cancel()
		return causeBudget
	}
	p.tried[r.ID] = true
	p.sends++
	p.inFlight++
	go func() {
		sentAt := time.Now()
		result := p.send(r)
		p.observeEnd(result, sentAt)
		pending.Done(result.resp == nil || result.resp.Status >= minFailureStatus)
		p.results <- result
	}()
	return ""
}

// wait returns the result of a send. ended is false if the request should be sent to
// a second replica in the meantime.
func (p *plainCall) wait(mayHedge bool) (result sendResult, ended bool) {
	if !mayHedge || p.rule.Kind != ingress.KindSafe || p.sends >= p.rule.MaxAttempts || p.inFlight > 1 {
		return <-p.results, true
	}
	timer := time.NewTimer(time.Duration(hedgeFraction * float64(p.rule.Objective)))
	defer timer.Stop()
	select {
	case result := <-p.results:
		return result, true
	case <-timer.C:
		p.f.Log.Info("forward: no answer within hedging delay, hedging request", "request", p.req.ID, "sends", p.sends)
		return sendResult{}, false
	}
}

// handleResult returns the response to the caller, or nil if the request continues.
func (p *plainCall) handleResult(result sendResult) *Response {
	p.inFlight--
	p.mayHaveRun = p.mayHaveRun || result.ran
	if result.cause == causeNotSent {
		p.sends--
		p.unreachable++
	}
	if result.resp != nil && !result.retryable {
		p.finish(outcome.Answered, "")
		return result.resp
	}
	if result.resp != nil {
		p.lastFailure = result.resp
	}
	if !result.retryable {
		return p.lastFailureOrGiveUp(result.cause)
	}
	p.f.Counter.Retried(p.rule.Name)
	p.f.Log.Info("forward: send failed, retrying request", "request", p.req.ID, "replica", result.replica.ID, "cause", result.cause, "sends", p.sends,
		"fingerprint", p.formatFingerprint(), "error", errorText(result.err))
	return nil
}

// lastFailureOrGiveUp returns the last failure that a replica answered, if any, or
// gives up.
func (p *plainCall) lastFailureOrGiveUp(cause string) *Response {
	if p.lastFailure != nil {
		p.finish(outcome.Answered, causeFailedByReplica)
		return p.lastFailure
	}
	return p.giveUp(cause)
}

// send sends the request to one replica.
func (p *plainCall) send(r replica.Replica) sendResult {
	result := sendResult{replica: r}
	a, err := p.f.Upstream.Send(p.ctx, Send{
		Request: p.req, Replica: r, TimeLeft: time.Until(p.deadline), Customer: p.customer, Priority: p.priority, LastEvent: p.req.LastEvent,
	})
	if errors.Is(err, ErrNotSent) {
		result.retryable, result.cause = true, causeNotSent
		return result
	}
	safe := p.rule.Kind == ingress.KindSafe
	if err != nil {
		result.ran, result.retryable, result.cause, result.err = true, safe, causeBrokenAnswer, err
		return result
	}
	if a.NotRun {
		_ = a.Body.Close()
		result.retryable, result.cause = true, causeRefused
		return result
	}
	result.ran = true
	err = bufferBody(p.ctx, a, p.req)
	switch {
	case err != nil:
		result.retryable, result.cause, result.err = safe, causeBrokenBody, err
	case a.Status < http.StatusMultipleChoices && !a.Signed:
		result.retryable, result.cause = safe, causeUnsigned
	case outcome.PromisesNotRun(a.Status):
		result.retryable, result.cause = safe, causeUnstatedRefusal
	default:
		result.resp = responseFrom(a)
		result.retryable, result.cause = safe && a.Status >= minFailureStatus, causeFailedByReplica
	}
	return result
}

// responseFrom returns the response to the caller for a buffered answer of a replica.
func responseFrom(a *UpstreamResponse) *Response {
	return &Response{Status: a.Status, Header: a.Header, Body: a.Body}
}

// bufferBody reads the body of an answer to its end and buffers it. It waits for the memory
// of a large one.
func bufferBody(ctx context.Context, a *UpstreamResponse, req *Request) error {
	defer func(body io.Closer) { _ = body.Close() }(a.Body)
	body, err := io.ReadAll(io.LimitReader(a.Body, smallBodyBytes))
	if err == nil && len(body) == smallBodyBytes {
		body, err = readLargeBody(ctx, a.Body, body, req)
	}
	if err == nil && len(body) == maxPlainBody {
		err = io.ErrShortBuffer
	}
	a.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// readLargeBody reads the rest of a body that is longer than smallBodyBytes.
func readLargeBody(ctx context.Context, r io.Reader, begin []byte, req *Request) ([]byte, error) {
	if err := req.awaitMemory(ctx, maxPlainBody); err != nil {
		return nil, err
	}
	body := bytes.NewBuffer(make([]byte, 0, maxPlainBody+bytes.MinRead))
	_, _ = body.Write(begin)
	_, err := body.ReadFrom(io.LimitReader(r, int64(maxPlainBody-len(begin))))
	return body.Bytes(), err
}

// randomDuration returns a random duration in [from, to).
func randomDuration(from, to time.Duration) time.Duration { return from + rand.N(to-from) }
