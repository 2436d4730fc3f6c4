package delivery_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"bulrushshed/claim"
	"bulrushshed/delivery"
	"bulrushshed/outcome"
	"bulrushshed/rule"
	"bulrushshed/service"
)

// keyTTL is the lifetime of keys in the tests.
const keyTTL = 10 * time.Minute

// choices is a sequence of drawn numbers that decide which faults occur; after
// its end there are no faults.
type choices []byte

func (c *choices) next(n int) int {
	if len(*c) == 0 {
		return 0
	}
	b := (*c)[0]
	*c = (*c)[1:]
	return int(b) % n
}

// simulation is a few hosts, one service and one log. Drawn choices decide what is
// lost, late or refused, and which hosts stop.
type simulation struct {
	choices         *choices
	hosts           []*host
	lastIncarnation int64
	// delayed are copies and executions that have not arrived yet.
	delayed []func()
	// keys are all keys that were used, and reported the outcomes that their
	// callers got.
	keys     []string
	reported map[string][]outcome.Kind
	// mu guards executions and reported, which concurrent calls write.
	mu         sync.Mutex
	executions map[string]int
	log        []claim.Batch
	// concurrentRepeats are the repeats that are sent while a first copy runs.
	concurrentRepeats sync.WaitGroup
}

// host is one incarnation of an entry host.
type host struct {
	sim     *simulation
	home    claim.Home
	d       *delivery.Deliverer
	table   *claim.Table
	journal *claim.Journal
	ledger  *claim.Ledger
	readTo  int
}

func newSimulation(drawn *choices) *simulation {
	w := &simulation{choices: drawn, reported: map[string][]outcome.Kind{}, executions: map[string]int{}}
	for n := range 3 {
		w.hosts = append(w.hosts, w.newHost(fmt.Sprintf("entry-%d", n)))
	}
	return w
}

func (w *simulation) newHost(name string) *host {
	w.lastIncarnation++
	h := &host{sim: w, home: claim.Home{Host: name, Incarnation: w.lastIncarnation}}
	// The log may have lost its oldest records before a new host reads it.
	if len(w.log) > 0 && w.choices.next(3) == 1 {
		h.readTo = w.choices.next(len(w.log))
	}
	h.table = claim.NewTable(claim.Options{KeyTTL: keyTTL, Capacity: 1000, MaxAnswerBytes: 64})
	h.journal = claim.NewJournal(h.home, 3, 64)
	h.ledger = claim.NewLedger(keyTTL)
	h.d = delivery.New(delivery.Options{Self: h.home, MaxAttempts: 3}, delivery.Dependencies{
		Services: h, Replicas: h, HomeClient: h, Table: h.table, Journal: h.journal, Outcomes: h, Gate: h, Counter: h,
		Log: slog.New(slog.DiscardHandler),
	})
	return h
}

// request returns the call of a key.
func request(key string) delivery.Request {
	return delivery.Request{
		ID: "r", Customer: "puebla", Class: rule.Class{Name: "dispatch", Service: "dispatch"},
		Method: "POST", Path: "/dispatch/confirm", Key: key, Deadline: time.Now().Add(5 * time.Second),
	}
}

// send sends one copy of a call to a host and records its outcome.
func (w *simulation) send(h *host, key string) {
	answer, err := h.d.Deliver(context.Background(), request(key))
	w.report(key, answer, err)
}

func (w *simulation) report(key string, answer outcome.Answer, err error) {
	kind := outcome.Answered
	var o *outcome.Error
	if errors.As(err, &o) {
		kind = o.Kind
	}
	if err == nil && string(answer.Body) != key {
		kind = "another call's answer"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reported[key] = append(w.reported[key], kind)
}

// Pick returns one of two replicas.
func (h *host) Pick(_ string, tried map[string]bool) (delivery.Replica, func(), bool) {
	for _, name := range []string{"s1", "s2"} {
		if !tried[name] {
			return delivery.Replica{Endpoint: name, Address: name}, func() {}, true
		}
	}
	return delivery.Replica{}, nil, false
}

// Suspect does nothing.
func (h *host) Suspect(string, int64) {}

// MarkLeaving does nothing.
func (h *host) MarkLeaving(string, int64) {}

// Hedged does nothing.
func (h *host) Hedged(string) {}

// Retried does nothing.
func (h *host) Retried(string) {}

// Acquire sometimes rejects a call.
func (h *host) Acquire(context.Context, delivery.Request) (func(bool), error) {
	if h.sim.choices.next(8) == 1 {
		return nil, &outcome.Error{Kind: outcome.NotRun, Cause: outcome.CauseLimit}
	}
	return func(bool) {}, nil
}

// Send simulates the service and the network to it.
func (h *host) Send(_ context.Context, _ string, c service.Call) (outcome.Answer, error) {
	if h.sim.choices.next(4) == 1 {
		h.repeatMeanwhile(c.Key)
	}
	unknown := &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer}
	switch h.sim.choices.next(8) {
	case 1:
		return outcome.Answer{}, &outcome.Error{Kind: outcome.NotRun, Cause: outcome.CauseNotSent}
	case 2:
		return outcome.Answer{}, &outcome.Error{Kind: outcome.NotRun, Cause: outcome.CauseRefused}
	case 3:
		return outcome.Answer{}, unknown
	case 4:
		h.sim.run(c.Key)
		return outcome.Answer{}, unknown
	case 5:
		h.sim.delayed = append(h.sim.delayed, func() { h.sim.run(c.Key) })
		return outcome.Answer{}, unknown
	}
	h.sim.run(c.Key)
	return outcome.Answer{Status: 200, Body: []byte(c.Key)}, nil
}

// repeatMeanwhile sends a copy to the home while the first one runs.
func (h *host) repeatMeanwhile(key string) {
	k, _ := claim.ParseKey(key)
	h.sim.concurrentRepeats.Go(func() {
		answer, err := h.d.DeliverAtHome(context.Background(), k, request(key))
		h.sim.report(key, answer, err)
	})
}

func (w *simulation) run(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions[key]++
}

// Forward simulates the network between hosts.
func (h *host) Forward(ctx context.Context, home claim.Home, r delivery.Request) (outcome.Answer, error) {
	unknown := &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseHomeSilent}
	key, _ := claim.ParseKey(r.Key)
	callHome := func() (outcome.Answer, error) {
		for _, other := range h.sim.hosts {
			if other.home.Host == home.Host {
				return other.d.DeliverAtHome(ctx, key, r)
			}
		}
		return outcome.Answer{}, unknown
	}
	switch h.sim.choices.next(6) {
	case 1:
		return outcome.Answer{}, unknown
	case 2:
		_, _ = callHome()
		return outcome.Answer{}, unknown
	case 3:
		h.sim.delayed = append(h.sim.delayed, func() { _, _ = callHome() })
		return outcome.Answer{}, unknown
	}
	return callHome()
}

// Lookup searches the host's ledger.
func (h *host) Lookup(key claim.Key) (claim.Result, bool) {
	finding, offset, kind := h.ledger.Find(key, time.Now())
	switch finding {
	case claim.FindingNeverRan:
		return claim.Result{Err: &outcome.Error{Kind: outcome.NotRun}}, true
	case claim.FindingOutcome:
		for _, o := range h.sim.log[offset].Outcomes {
			if o.Key == key.String() && kind == outcome.Answered && o.Answer != nil {
				return claim.Result{Answer: *o.Answer}, true
			}
		}
		return claim.Result{Err: &outcome.Error{Kind: outcome.Unknown}}, true
	case claim.FindingNone:
	}
	return claim.Result{}, false
}

// append simulates the log: it may lose the batch, or the acknowledgement.
func (h *host) append(b claim.Batch) {
	switch h.sim.choices.next(4) {
	case 1:
		return
	case 2:
		h.sim.log = append(h.sim.log, b)
		return
	}
	h.sim.log = append(h.sim.log, b)
	h.journal.MarkAppended(b.Seq)
}

// read applies up to n records of the log to the ledger.
func (h *host) read(n int) {
	for ; n > 0 && h.readTo < len(h.sim.log); n-- {
		h.ledger.Apply(int64(h.readTo), h.sim.log[h.readTo], time.Now())
		h.readTo++
	}
}

// stop shuts a host down gracefully. It writes the rest of the journal if the
// log accepts it.
func (h *host) stop() {
	h.table.Close()
	for range 8 {
		b, ok := h.journal.FinalBatch()
		if !ok {
			b, ok = h.journal.Next()
		}
		if ok {
			h.append(b)
		}
	}
}

// step lets one host read the log, and then one event occur.
func (w *simulation) step() {
	w.hosts[w.choices.next(len(w.hosts))].read(w.choices.next(20))
	h := w.hosts[w.choices.next(len(w.hosts))]
	switch w.choices.next(10) {
	case 0, 1, 2:
		key := claim.Issue(h.home, time.Now()).String()
		w.keys = append(w.keys, key)
		w.send(h, key)
	case 3, 4, 5:
		if len(w.keys) > 0 {
			w.send(h, w.keys[w.choices.next(len(w.keys))])
		}
	case 6:
		if b, ok := h.journal.Next(); ok {
			h.append(b)
		}
	case 7:
		w.replace(h, w.choices.next(3) != 1)
	case 8:
		w.runDelayed()
	case 9:
		time.Sleep(time.Duration(w.choices.next(8)) * time.Minute)
	}
}

// replace replaces a host by its next incarnation.
func (w *simulation) replace(h *host, gracefully bool) {
	if gracefully {
		h.stop()
	}
	for n := range w.hosts {
		if w.hosts[n] == h {
			w.hosts[n] = w.newHost(h.home.Host)
		}
	}
}

func (w *simulation) runDelayed() {
	late := w.delayed
	w.delayed = nil
	for _, f := range late {
		f()
	}
}

// checkInvariants waits until all delayed calls have arrived, and describes the
// violated property, or returns "".
func (w *simulation) checkInvariants() string {
	for len(w.delayed) > 0 {
		w.runDelayed()
	}
	w.concurrentRepeats.Wait()
	for _, key := range w.keys {
		if w.executions[key] > 1 {
			return fmt.Sprintf("key ran %d times, reported %v", w.executions[key], w.reported[key])
		}
		for _, kind := range w.reported[key] {
			switch kind {
			case outcome.NotRun:
				if w.executions[key] > 0 {
					return fmt.Sprintf("key ran, but was reported as %v", w.reported[key])
				}
			case outcome.Answered:
				if w.executions[key] == 0 {
					return fmt.Sprintf("key never ran, but was reported as %v", w.reported[key])
				}
			case outcome.Unknown:
			default:
				return fmt.Sprintf("got unexpected outcomes %v", w.reported[key])
			}
		}
	}
	return ""
}
