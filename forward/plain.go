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

// try is what became of one send of a plain request.
type try struct {
	resp *Response
	// again is set if another replica may get the request.
	again bool
	cause string
}

// plain serves a request by one replica, and by another one if the first did
// not run it or the request may run more than once.
func (c *call) plain(ctx context.Context) *Response {
	var last *Response
	unreachable := 0
	for {
		if err := c.current(); err != nil {
			return c.giveUp(err.Error())
		}
		if ctx.Err() != nil || time.Until(c.end) < leastLeft {
			return c.orLast(last, "deadline")
		}
		if c.sends > 0 && !c.f.Budget.Repeat(c.service.Name, time.Now()) {
			return c.orLast(last, "budget")
		}
		now := time.Now()
		r, done, ok := c.f.Picker.Pick(c.f.Replicas.View().Of(c.service.Name), c.tried, now)
		if !ok {
			return c.orLast(last, "no_replica")
		}
		c.tried[r.ID] = true
		t := c.try(ctx, r)
		done(t.resp == nil || t.resp.Status >= failing)
		if t.cause == notSent && unreachable < maxUnreachable {
			unreachable++
			continue
		}
		if t.resp != nil && !t.again {
			c.finish(outcome.Answered, "")
			return t.resp
		}
		if t.resp != nil {
			last = t.resp
		}
		if !t.again || c.sends >= c.rule.MaxAttempts {
			return c.orLast(last, t.cause)
		}
		c.f.Counter.Retried(c.rule.Name)
		c.f.Log.Info("forward: retrying", "request", c.req.ID, "replica", r.ID, "cause", t.cause, "sends", c.sends)
	}
}

// orLast returns what a replica answered, if one did, or gives up.
func (c *call) orLast(last *Response, cause string) *Response {
	if last != nil {
		c.finish(outcome.Answered, "failed_by_replica")
		return last
	}
	return c.giveUp(cause)
}

// try sends the request to one replica.
func (c *call) try(ctx context.Context, r replica.Replica) try {
	a, err := c.f.Upstream.Send(ctx, Send{
		Request: c.req, Replica: r, Left: time.Until(c.end), Customer: c.customer, LastEvent: c.req.LastEvent,
	})
	if errors.Is(err, ErrNotSent) {
		return try{again: true, cause: notSent}
	}
	c.sends++
	safe := c.rule.Kind == ingress.KindSafe
	if err != nil {
		c.mayHaveRun = true
		return try{again: safe, cause: "broken_answer"}
	}
	if a.NotRun {
		_ = a.Body.Close()
		return try{again: true, cause: "not_run"}
	}
	c.mayHaveRun = true
	body, err := readWhole(a)
	if err != nil {
		return try{again: safe, cause: "broken_body"}
	}
	resp := wholeResponse(a, body)
	if a.Status < http.StatusMultipleChoices && !a.Sealed {
		return try{again: safe, cause: "unsigned"}
	}
	return try{resp: resp, again: safe && a.Status >= failing, cause: "failed_by_replica"}
}

func wholeResponse(a *Answer, body []byte) *Response {
	return &Response{Status: a.Status, Header: a.Header, Length: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
}

// hold reads the body of an answer to its end and keeps it.
func hold(a *Answer) error {
	body, err := readWhole(a)
	a.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// readWhole reads an answer to its end.
func readWhole(a *Answer) ([]byte, error) {
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxPlainBody))
	if err == nil && len(body) == maxPlainBody {
		err = io.ErrShortBuffer
	}
	return body, err
}

// spread returns a random time between two bounds.
func spread(from, to time.Duration) time.Duration { return from + rand.N(to-from) }
