package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bulrushshed/caller"
	"bulrushshed/history"
	"bulrushshed/jsonhttp"
	"bulrushshed/outcome"
	"bulrushshed/reference"
)

// defaultMaxAttempts is the default maximum number of attempts per request.
const defaultMaxAttempts = 5

// retryDelay is the time between two attempts.
const retryDelay = 100 * time.Millisecond

// maxKeysPerCall is the maximum number of keys that a caller uses for one call,
// one after another. A call that was rejected as not run needs a new key.
const maxKeysPerCall = 4

// call makes a non-idempotent call. While the call is reported as not run, it is
// retried with a new key.
func (d *driver) call(ctx context.Context, customer string, intended time.Time) {
	kind := outcome.NotRun
	for range maxKeysPerCall {
		key, home, err := d.addresses.acquireKey()
		if err != nil || key == "" {
			continue
		}
		c := d.callWithKey(ctx, key, home, customer)
		kind = c.FinalOutcome()
		if len(c.Attempts) == 0 {
			kind = outcome.NotRun
		}
		d.recorder.recordKeyedCall(c)
		if kind != outcome.NotRun {
			break
		}
		// The home may be shutting down, and would then reject calls with its
		// other keys, too.
		d.addresses.dropKeys(home)
		time.Sleep(retryDelay)
	}
	d.recorder.recordCall(kind, time.Since(intended))
}

// callWithKey sends a call with one key, to the home first and then to other hosts,
// until its outcome is known or the attempts are used up.
func (d *driver) callWithKey(ctx context.Context, key, home, customer string) history.Call {
	c := history.Call{Key: key}
	avoid := map[string]bool{}
	to := home
	for range d.opts.MaxAttempts {
		kind, sent := d.attemptCall(ctx, to, customer, key)
		if sent {
			c.Attempts = append(c.Attempts, history.Attempt{Entry: to, Kind: kind, At: time.Now()})
		}
		if sent && kind != outcome.Unknown {
			return c
		}
		d.addresses.dropKeys(to)
		if len(c.Attempts) == 0 {
			// No host has received the key, so the call can use a new one.
			return c
		}
		avoid[to] = true
		time.Sleep(retryDelay)
		to = d.addresses.pick(avoid)
	}
	return c
}

// attemptCall sends a call once. kind is the outcome that the response reports, or
// Unknown without a response; sent is false if no byte of the call left this host.
func (d *driver) attemptCall(ctx context.Context, to, customer, key string) (kind outcome.Kind, sent bool) {
	resp, err := d.addresses.http.Exchange(ctx, jsonhttp.Request{
		Method: http.MethodPost, URL: "http://" + to + d.opts.CallPath, Timeout: d.opts.Timeout, Body: []byte(`{}`),
		Headers: map[string]string{
			caller.HeaderCustomer: customer, caller.HeaderKey: key, "Content-Type": "application/json",
		},
	})
	if err != nil {
		return outcome.Unknown, jsonhttp.KindOf(err) != jsonhttp.KindNotSent
	}
	return outcome.Kind(resp.Header(caller.HeaderOutcome)), true
}

// checkStock sends an idempotent stock check until it is answered or the attempts
// are used up.
func (d *driver) checkStock(ctx context.Context, customer string, intended time.Time) {
	avoid := map[string]bool{}
	for range d.opts.MaxAttempts {
		to := d.addresses.pick(avoid)
		resp, err := d.addresses.http.Exchange(ctx, jsonhttp.Request{
			Method: http.MethodGet, URL: "http://" + to + d.opts.StockCheckPath, Timeout: d.opts.Timeout,
			Headers: map[string]string{caller.HeaderCustomer: customer},
		})
		if err == nil && outcome.Kind(resp.Header(caller.HeaderOutcome)) == outcome.Answered {
			d.recorder.recordStockCheck(true, time.Since(intended))
			return
		}
		avoid[to] = true
		if d.opts.MaxAttempts > 1 {
			time.Sleep(retryDelay)
		}
	}
	d.recorder.recordStockCheck(false, time.Since(intended))
}

// stream is one attempt of a completion, as far as its caller received it.
type stream struct {
	tokens            []history.Token
	firstTokenLatency time.Duration
	gaps              []time.Duration
	complete          bool
	// rejection is the outcome that a response with an error status reported, or
	// Unknown.
	rejection   outcome.Kind
	lastTokenAt time.Time
	// cause is the reason why the stream is not complete.
	cause string
}

// requestCompletion requests a completion. An interrupted one is requested again
// from the start, since completions are idempotent.
func (d *driver) requestCompletion(ctx context.Context, customer string, nonce uint64, intended time.Time) {
	prompt := fmt.Sprintf("shift note %016x for %s", nonce, customer)
	avoid := map[string]bool{}
	attempts := 0
	cause := ""
	var s *stream
	for attempts < d.opts.MaxAttempts {
		attempts++
		to := d.addresses.pick(avoid)
		s = d.attemptCompletion(ctx, to, customer, prompt, intended)
		if s.complete {
			break
		}
		cause = to + ": " + s.cause
		avoid[to] = true
		time.Sleep(retryDelay)
	}
	mismatch := ""
	if s.complete && d.opts.Layers > 0 {
		mismatch = d.checkTokens(prompt, s.tokens)
	}
	d.recorder.recordStream(s, attempts, cause, mismatch, time.Since(intended))
}

// checkTokens describes the first wrong token of a completion, or returns "". All
// tokens must come from the same version of the model.
func (d *driver) checkTokens(prompt string, got []history.Token) string {
	mismatch := ""
	for _, version := range d.opts.Versions {
		mismatch = history.CheckStream(got, reference.Tokens(version, prompt, d.opts.Layers, d.opts.MaxTokens))
		if mismatch == "" {
			return ""
		}
	}
	return mismatch
}

// attemptCompletion requests a completion once and reads its stream to the end.
func (d *driver) attemptCompletion(ctx context.Context, to, customer, prompt string, intended time.Time) *stream {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
	defer cancel()
	s := &stream{rejection: outcome.Unknown, lastTokenAt: intended}
	body, err := json.Marshal(map[string]any{
		"model": d.opts.Model, "prompt": prompt, "max_tokens": d.opts.MaxTokens, "stream": true, "user": customer,
	})
	if err != nil {
		panic(err)
	}
	resp, err := d.addresses.http.Open(ctx, jsonhttp.Request{
		Method: http.MethodPost, URL: "http://" + to + "/v1/completions", Timeout: d.opts.Timeout, Body: body,
		Headers: map[string]string{"Content-Type": "application/json"},
	})
	if err != nil {
		s.cause = err.Error()
		return s
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		s.rejection = outcome.Kind(resp.Header(caller.HeaderOutcome))
		s.cause = string(s.rejection)
		return s
	}
	if err := s.read(resp, intended); err != nil {
		s.cause = err.Error()
		return s
	}
	s.complete = true
	return s
}

var errInterrupted = errors.New("stream closed before the [DONE] event")

// read reads tokens until the [DONE] event, an error event or a failure.
func (s *stream) read(resp *jsonhttp.Stream, intended time.Time) error {
	lines := bufio.NewScanner(resp)
	inErrorEvent := false
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.HasPrefix(line, []byte("event: error")) {
			inErrorEvent = true
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
			continue
		case inErrorEvent:
			return errors.New(string(data))
		case string(data) == "[DONE]":
			return nil
		}
		if err := s.addEvent(data, intended); err != nil {
			return err
		}
	}
	return errInterrupted
}

// chunk is a streamed part of a completion, with the fields that callers use.
type chunk struct {
	Choices []struct {
		Text         string `json:"text"`
		Position     int    `json:"position"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (s *stream) addEvent(data []byte, intended time.Time) error {
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil || len(event.Choices) != 1 {
		return errors.New("stream event is not JSON with exactly one choice: " + strings.Clone(string(data)))
	}
	choice := event.Choices[0]
	if choice.FinishReason != "" {
		return nil
	}
	now := time.Now()
	if len(s.tokens) == 0 {
		s.firstTokenLatency = now.Sub(intended)
	} else {
		s.gaps = append(s.gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.tokens = append(s.tokens, history.Token{Position: choice.Position, Text: choice.Text})
	return nil
}
