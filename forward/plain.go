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

// hedgeShare is the share of a rule's objective behind which a request that may
// run more than once is sent to a second replica beside the first.
const hedgeShare = 0.6

// plain is a request to a plain service on its way.
type plain struct {
	*call
	ctx context.Context
	// tries carries what became of each send, and running counts those that
	// have not ended.
	tries   chan try
	running int
	// unreachable counts the replicas that could not be reached.
	unreachable int
	// last is the newest answer by which a replica failed the request, or nil.
	last *Response
}

// try is what became of one send.
type try struct {
	replica replica.Replica
	resp    *Response
	// ran is set if the replica has, or may have, run the request.
	ran bool
	// again is set if another replica may get the request.
	again bool
	cause string
}

// plain serves a request by one replica, and by another one if the first did
// not run it or the request may run more than once.
func (c *call) plain(ctx context.Context) *Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &plain{call: c, ctx: ctx, tries: make(chan try, c.rule.MaxAttempts+maxUnreachable+1)}
	for {
		cause := p.launch()
		if cause != "" && p.running == 0 {
			return p.orLast(cause)
		}
		t, ended := p.wait(cause == "")
		if !ended {
			continue
		}
		if resp := p.take(t); resp != nil {
			return resp
		}
	}
}

// launch sends the request to one more replica, and returns why it can't, or "".
func (p *plain) launch() (cause string) {
	if err := p.current(); err != nil {
		return err.Error()
	}
	if p.ctx.Err() != nil || time.Until(p.end) < leastLeft {
		return causeDeadline
	}
	if p.sends >= p.rule.MaxAttempts || p.unreachable > maxUnreachable {
		return causeAttempts
	}
	r, done, ok := p.f.Picker.Pick(p.f.Replicas.View().ByService(p.service.Name), p.tried, time.Now())
	if !ok {
		return "no_replica"
	}
	if p.sends > 0 && !p.f.Budget.Repeat(p.service.Name, time.Now()) {
		done(false)
		return causeBudget
	}
	p.tried[r.ID] = true
	p.sends++
	p.running++
	go func() {
		t := p.try(r)
		done(t.resp == nil || t.resp.Status >= failing)
		p.tries <- t
	}()
	return ""
}

// wait returns what became of a send; ended is false if it is time to send the
// request to a second replica meanwhile.
func (p *plain) wait(mayHedge bool) (t try, ended bool) {
	if !mayHedge || p.rule.Kind != ingress.KindSafe || p.sends >= p.rule.MaxAttempts || p.running > 1 {
		return <-p.tries, true
	}
	timer := time.NewTimer(time.Duration(hedgeShare * float64(p.rule.Objective)))
	defer timer.Stop()
	select {
	case t := <-p.tries:
		return t, true
	case <-timer.C:
		p.f.Log.Info("forward: hedging", "request", p.req.ID, "sends", p.sends)
		return try{}, false
	}
}

// take returns the answer to the caller, or nil if the request goes on.
func (p *plain) take(t try) *Response {
	p.running--
	p.mayHaveRun = p.mayHaveRun || t.ran
	if t.cause == notSent {
		p.sends--
		p.unreachable++
	}
	if t.resp != nil && !t.again {
		p.finish(outcome.Answered, "")
		return t.resp
	}
	if t.resp != nil {
		p.last = t.resp
	}
	if !t.again {
		return p.orLast(t.cause)
	}
	p.f.Counter.Retried(p.rule.Name)
	p.f.Log.Info("forward: retrying", "request", p.req.ID, "replica", t.replica.ID, "cause", t.cause, "sends", p.sends)
	return nil
}

// orLast returns what a replica answered, if one did, or gives up.
func (p *plain) orLast(cause string) *Response {
	if p.last != nil {
		p.finish(outcome.Answered, "failed_by_replica")
		return p.last
	}
	return p.giveUp(cause)
}

// try sends the request to one replica.
func (p *plain) try(r replica.Replica) try {
	t := try{replica: r}
	a, err := p.f.Upstream.Send(p.ctx, Send{
		Request: p.req, Replica: r, Left: time.Until(p.end), Customer: p.customer, Priority: p.priority, LastEvent: p.req.LastEvent,
	})
	if errors.Is(err, ErrNotSent) {
		t.again, t.cause = true, notSent
		return t
	}
	safe := p.rule.Kind == ingress.KindSafe
	if err != nil {
		t.ran, t.again, t.cause = true, safe, "broken_answer"
		return t
	}
	if a.NotRun {
		_ = a.Body.Close()
		t.again, t.cause = true, causeRefused
		return t
	}
	t.ran = true
	err = hold(a)
	switch {
	case err != nil:
		t.again, t.cause = safe, "broken_body"
	case a.Status < http.StatusMultipleChoices && !a.Sealed:
		t.again, t.cause = safe, "unsigned"
	default:
		t.resp = relay(a)
		t.again, t.cause = safe && a.Status >= failing, "failed_by_replica"
	}
	return t
}

// relay returns what the caller gets of a replica's answer that is held.
func relay(a *UpstreamResponse) *Response {
	return &Response{Status: a.Status, Header: a.Header, Body: a.Body}
}

// hold reads the body of an answer to its end and keeps it.
func hold(a *UpstreamResponse) error {
	defer func(body io.Closer) { _ = body.Close() }(a.Body)
	body, err := io.ReadAll(io.LimitReader(a.Body, maxPlainBody))
	if err == nil && len(body) == maxPlainBody {
		err = io.ErrShortBuffer
	}
	a.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// spread returns a random time between two bounds.
func spread(from, to time.Duration) time.Duration { return from + rand.N(to-from) }
