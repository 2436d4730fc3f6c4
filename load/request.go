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

// defaultSends is how often a caller sends one request.
const defaultSends = 5

// sendPause is the wait between two sends.
const sendPause = 100 * time.Millisecond

// maxKeys is how many keys a caller uses for one request: a key that was
// refused as not run is used up.
const maxKeys = 4

// call makes a non-idempotent call until it has an answer, or until nobody can
// tell what became of it.
func (d *driver) call(ctx context.Context, customer string, intended time.Time) {
	kind := outcome.NotRun
	for range maxKeys {
		key, home, err := d.book.key()
		if err != nil || key == "" {
			continue
		}
		c := d.callUnder(ctx, key, home, customer)
		kind = c.Final()
		if len(c.Sends) == 0 {
			kind = outcome.NotRun
		}
		d.tally.key(c)
		if kind != outcome.NotRun {
			break
		}
		// The home may be stopping; its other keys would fare no better.
		d.book.forget(home)
		time.Sleep(sendPause)
	}
	d.tally.call(kind, time.Since(intended))
}

// callUnder sends copies of a call under one key until it is settled.
func (d *driver) callUnder(ctx context.Context, key, home, customer string) history.Call {
	c := history.Call{Key: key}
	avoid := map[string]bool{}
	to := home
	for range d.opts.Sends {
		kind, sent := d.sendCall(ctx, to, customer, key)
		if sent {
			c.Sends = append(c.Sends, history.Send{Entry: to, Kind: kind, At: time.Now()})
		}
		if sent && kind != outcome.Unknown {
			return c
		}
		d.book.forget(to)
		if len(c.Sends) == 0 {
			// No host has seen the key, so a fresh one is as good.
			return c
		}
		avoid[to] = true
		time.Sleep(sendPause)
		to = d.book.address(avoid)
	}
	return c
}

// sendCall sends one copy of a call; sent is false if no byte of it left.
func (d *driver) sendCall(ctx context.Context, to, customer, key string) (kind outcome.Kind, sent bool) {
	resp, err := d.book.http.Exchange(ctx, jsonhttp.Request{
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

// check asks an idempotent question until it has an answer.
func (d *driver) check(ctx context.Context, customer string, intended time.Time) {
	avoid := map[string]bool{}
	for range d.opts.Sends {
		to := d.book.address(avoid)
		resp, err := d.book.http.Exchange(ctx, jsonhttp.Request{
			Method: http.MethodGet, URL: "http://" + to + d.opts.CheckPath, Timeout: d.opts.Timeout,
			Headers: map[string]string{caller.HeaderCustomer: customer},
		})
		if err == nil && outcome.Kind(resp.Header(caller.HeaderOutcome)) == outcome.Answered {
			d.tally.check(true, time.Since(intended))
			return
		}
		avoid[to] = true
		if d.opts.Sends > 1 {
			time.Sleep(sendPause)
		}
	}
	d.tally.check(false, time.Since(intended))
}

// stream is one answer as far as its caller got it.
type stream struct {
	tokens   []history.Token
	first    time.Duration
	gaps     []time.Duration
	whole    bool
	refused  outcome.Kind
	lastNews time.Time
	// cause says why it is not whole.
	cause string
}

// complete asks for a completion; one that is cut is asked for again, since a
// completion is idempotent.
func (d *driver) complete(ctx context.Context, customer string, nonce uint64, intended time.Time) {
	prompt := fmt.Sprintf("shift note %016x for %s", nonce, customer)
	avoid := map[string]bool{}
	sends := 0
	cause := ""
	var s *stream
	for sends < d.opts.Sends {
		sends++
		to := d.book.address(avoid)
		s = d.openStream(ctx, to, customer, prompt, intended)
		if s.whole {
			break
		}
		cause = to + ": " + s.cause
		avoid[to] = true
		time.Sleep(sendPause)
	}
	wrong := ""
	if s.whole && d.opts.Layers > 0 {
		wrong = d.checkTokens(prompt, s.tokens)
	}
	d.tally.stream(s, sends, cause, wrong, time.Since(intended))
}

// checkTokens returns what is wrong with an answer, all of whose tokens must
// come from one version of the model.
func (d *driver) checkTokens(prompt string, got []history.Token) string {
	wrong := ""
	for _, version := range d.opts.Versions {
		wrong = history.CheckStream(got, reference.Tokens(version, prompt, d.opts.Layers, d.opts.MaxTokens))
		if wrong == "" {
			return ""
		}
	}
	return wrong
}

func (d *driver) openStream(ctx context.Context, to, customer, prompt string, intended time.Time) *stream {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
	defer cancel()
	s := &stream{refused: outcome.Unknown, lastNews: intended}
	body, err := json.Marshal(map[string]any{
		"model": d.opts.Model, "prompt": prompt, "max_tokens": d.opts.MaxTokens, "stream": true, "user": customer,
	})
	if err != nil {
		panic(err)
	}
	in, err := d.book.http.Open(ctx, jsonhttp.Request{
		Method: http.MethodPost, URL: "http://" + to + "/v1/completions", Timeout: d.opts.Timeout, Body: body,
		Headers: map[string]string{"Content-Type": "application/json"},
	})
	if err != nil {
		s.cause = err.Error()
		return s
	}
	defer in.Close()
	if in.Status != http.StatusOK {
		s.refused = outcome.Kind(in.Header(caller.HeaderOutcome))
		s.cause = string(s.refused)
		return s
	}
	if err := s.read(in, intended); err != nil {
		s.cause = err.Error()
		return s
	}
	s.whole = true
	return s
}

var errCut = errors.New("stream ended without its end")

// read takes tokens until the end mark, an error event or a cut.
func (s *stream) read(in *jsonhttp.Stream, intended time.Time) error {
	lines := bufio.NewScanner(in)
	failed := false
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.HasPrefix(line, []byte("event: error")) {
			failed = true
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
			continue
		case failed:
			return errors.New(string(data))
		case string(data) == "[DONE]":
			return nil
		}
		if err := s.take(data, intended); err != nil {
			return err
		}
	}
	return errCut
}

// piece is the part of an event that callers read.
type piece struct {
	Choices []struct {
		Text         string `json:"text"`
		Position     int    `json:"position"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (s *stream) take(data []byte, intended time.Time) error {
	var p piece
	if err := json.Unmarshal(data, &p); err != nil || len(p.Choices) != 1 {
		return errors.New("unreadable event " + strings.Clone(string(data)))
	}
	c := p.Choices[0]
	if c.FinishReason != "" {
		return nil
	}
	now := time.Now()
	if len(s.tokens) == 0 {
		s.first = now.Sub(intended)
	} else {
		s.gaps = append(s.gaps, now.Sub(s.lastNews))
	}
	s.lastNews = now
	s.tokens = append(s.tokens, history.Token{Position: c.Position, Text: c.Text})
	return nil
}
