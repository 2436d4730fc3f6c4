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
	s := &simulation{choices: drawn, reported: map[string][]outcome.Kind{}, executions: map[string]int{}}
	for n := range 3 {
		s.hosts = append(s.hosts, s.newHost(fmt.Sprintf("entry-%d", n)))
	}
	return s
}

func (s *simulation) newHost(name string) *host {
	s.lastIncarnation++
	h := &host{sim: s, home: claim.Home{Host: name, Incarnation: s.lastIncarnation}}
	// The log may have lost its oldest records before a new host reads it.
	if len(s.log) > 0 && s.choices.next(3) == 1 {
		h.readTo = s.choices.next(len(s.log))
	}
	h.table = claim.NewTable(claim.Options{KeyTTL: keyTTL, Capacity: 1000, MaxAnswerBytes: 64})
	h.journal = claim.NewJournal(h.home, 3, 64)
	h.ledger = claim.NewLedger(keyTTL)
	h.d = delivery.New(delivery.Options{Self: h.home, MaxAttempts: 3}, delivery.Dependencies{
		Services: h, Replicas: h, HomeClient: h, Table: h.table, Journal: h.journal, Outcomes: h, Gate: h, Counter: h, Limiter: newLimiter(), Quarantine: newQuarantine(),
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
func (s *simulation) send(h *host, key string) {
	answer, err := h.d.Deliver(context.Background(), request(key))
	s.report(key, answer, err)
}

func (s *simulation) report(key string, answer outcome.Answer, err error) {
	kind := outcome.Answered
	var o *outcome.Error
	if errors.As(err, &o) {
		kind = o.Kind
	}
	if err == nil && string(answer.Body) != key {
		kind = "another call's answer"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported[key] = append(s.reported[key], kind)
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
func (h *host) IsDown(context.Context, string) bool { return false }

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

func (s *simulation) run(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
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
		b, ok := h.journal.Settle()
		if !ok {
			b, ok = h.journal.Next()
		}
		if ok {
			h.append(b)
		}
	}
}

// step lets one host read the log, and then one event occur.
func (s *simulation) step() {
	s.hosts[s.choices.next(len(s.hosts))].read(s.choices.next(20))
	h := s.hosts[s.choices.next(len(s.hosts))]
	switch s.choices.next(10) {
	case 0, 1, 2:
		key := claim.Issue(h.home, time.Now()).String()
		s.keys = append(s.keys, key)
		s.send(h, key)
	case 3, 4, 5:
		if len(s.keys) > 0 {
			s.send(h, s.keys[s.choices.next(len(s.keys))])
		}
	case 6:
		if b, ok := h.journal.Next(); ok {
			h.append(b)
		}
	case 7:
		s.replace(h, s.choices.next(3) != 1)
	case 8:
		s.runDelayed()
	case 9:
		time.Sleep(time.Duration(s.choices.next(8)) * time.Minute)
	}
}

// replace replaces a host by its next incarnation.
func (s *simulation) replace(h *host, gracefully bool) {
	if gracefully {
		h.stop()
	}
	for n := range s.hosts {
		if s.hosts[n] == h {
			s.hosts[n] = s.newHost(h.home.Host)
		}
	}
}

func (s *simulation) runDelayed() {
	late := s.delayed
	s.delayed = nil
	for _, f := range late {
		f()
	}
}

// checkInvariants waits until all delayed calls have arrived, and describes the
// violated property, or returns "".
func (s *simulation) checkInvariants() string {
	for len(s.delayed) > 0 {
		s.runDelayed()
	}
	s.concurrentRepeats.Wait()
	for _, key := range s.keys {
		if s.executions[key] > 1 {
			return fmt.Sprintf("key ran %d times, reported %v", s.executions[key], s.reported[key])
		}
		for _, kind := range s.reported[key] {
			switch kind {
			case outcome.NotRun:
				if s.executions[key] > 0 {
					return fmt.Sprintf("key ran, but was reported as %v", s.reported[key])
				}
			case outcome.Answered:
				if s.executions[key] == 0 {
					return fmt.Sprintf("key never ran, but was reported as %v", s.reported[key])
				}
			case outcome.Unknown:
			default:
				return fmt.Sprintf("got unexpected outcomes %v", s.reported[key])
			}
		}
	}
	return ""
}
