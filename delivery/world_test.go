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

// keyLife is how long keys may be used in a world.
const keyLife = 10 * time.Minute

// tape is a run of drawn numbers that decides all fates of a world; behind its
// end every fate is the good one.
type tape []byte

func (t *tape) next(n int) int {
	if len(*t) == 0 {
		return 0
	}
	b := (*t)[0]
	*t = (*t)[1:]
	return int(b) % n
}

// world is a few hosts, one service and one log. Whatever can be lost, late,
// refused or dead is so by its tape.
type world struct {
	tape  *tape
	hosts []*host
	born  int64
	// late are copies and executions that are still under way.
	late []func()
	// keys are all keys that were used, with what their callers were told.
	keys []string
	told map[string][]outcome.Kind
	// mu guards ran, which calls under way at the same time write.
	mu  sync.Mutex
	ran map[string]int
	log []claim.Batch
	// asides are the repeats that came while a first copy ran.
	asides sync.WaitGroup
}

// host is one entry host in one incarnation.
type host struct {
	w       *world
	home    claim.Home
	d       *delivery.Deliverer
	table   *claim.Table
	journal *claim.Journal
	ledger  *claim.Ledger
	readTo  int
}

func newWorld(t *tape) *world {
	w := &world{tape: t, told: map[string][]outcome.Kind{}, ran: map[string]int{}}
	for n := range 3 {
		w.hosts = append(w.hosts, w.newHost(fmt.Sprintf("entry-%d", n)))
	}
	return w
}

func (w *world) newHost(name string) *host {
	w.born++
	h := &host{w: w, home: claim.Home{Host: name, Incarnation: w.born}}
	// The log may have lost its oldest records before a new host reads it.
	if len(w.log) > 0 && w.tape.next(3) == 1 {
		h.readTo = w.tape.next(len(w.log))
	}
	h.table = claim.NewTable(claim.Options{Life: keyLife, Capacity: 1000, MaxAnswer: 64})
	h.journal = claim.NewJournal(h.home, 3, 64)
	h.ledger = claim.NewLedger(keyLife)
	h.d = delivery.New(delivery.Options{Self: h.home, Attempts: 3}, delivery.Dependencies{
		Services: h, Replicas: h, Homes: h, Table: h.table, Journal: h.journal, Past: h, Gate: h, Counter: h,
		Log: slog.New(slog.DiscardHandler),
	})
	return h
}

// request is the one call that stands behind a key.
func request(key string) delivery.Request {
	return delivery.Request{
		ID: "r", Customer: "puebla", Class: rule.Class{Name: "dispatch", Service: "dispatch"},
		Method: "POST", Path: "/dispatch/confirm", Key: key, Deadline: time.Now().Add(5 * time.Second),
	}
}

// send sends one copy of a call to a host and notes what its caller was told.
func (w *world) send(h *host, key string) {
	answer, err := h.d.Deliver(context.Background(), request(key))
	w.tell(key, answer, err)
}

func (w *world) tell(key string, answer outcome.Answer, err error) {
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
	w.told[key] = append(w.told[key], kind)
}

// Pick offers two replicas.
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

// Leaving does nothing.
func (h *host) Leaving(string, int64) {}

// Hedged does nothing.
func (h *host) Hedged(string) {}

// Retried does nothing.
func (h *host) Retried(string) {}

// Enter refuses now and then.
func (h *host) Enter(context.Context, delivery.Request) (func(bool), error) {
	if h.w.tape.next(8) == 1 {
		return nil, &outcome.Error{Kind: outcome.NotRun, Cause: outcome.CauseLimit}
	}
	return func(bool) {}, nil
}

// Send is the service, and the network before it.
func (h *host) Send(_ context.Context, _ string, c service.Call) (outcome.Answer, error) {
	if h.w.tape.next(4) == 1 {
		h.repeatMeanwhile(c.Key)
	}
	unknown := &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer}
	switch h.w.tape.next(8) {
	case 1:
		return outcome.Answer{}, &outcome.Error{Kind: outcome.NotRun, Cause: outcome.CauseNotSent}
	case 2:
		return outcome.Answer{}, &outcome.Error{Kind: outcome.NotRun, Cause: outcome.CauseRefused}
	case 3:
		return outcome.Answer{}, unknown
	case 4:
		h.w.run(c.Key)
		return outcome.Answer{}, unknown
	case 5:
		h.w.late = append(h.w.late, func() { h.w.run(c.Key) })
		return outcome.Answer{}, unknown
	}
	h.w.run(c.Key)
	return outcome.Answer{Status: 200, Body: []byte(c.Key)}, nil
}

// repeatMeanwhile sends a copy to the home while the first one runs.
func (h *host) repeatMeanwhile(key string) {
	k, _ := claim.ParseKey(key)
	h.w.asides.Go(func() {
		answer, err := h.d.AtHome(context.Background(), k, request(key))
		h.w.tell(key, answer, err)
	})
}

func (w *world) run(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[key]++
}

// Forward is the network between hosts.
func (h *host) Forward(ctx context.Context, home claim.Home, r delivery.Request) (outcome.Answer, error) {
	unknown := &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseHomeSilent}
	key, _ := claim.ParseKey(r.Key)
	there := func() (outcome.Answer, error) {
		for _, other := range h.w.hosts {
			if other.home.Host == home.Host {
				return other.d.AtHome(ctx, key, r)
			}
		}
		return outcome.Answer{}, unknown
	}
	switch h.w.tape.next(6) {
	case 1:
		return outcome.Answer{}, unknown
	case 2:
		_, _ = there()
		return outcome.Answer{}, unknown
	case 3:
		h.w.late = append(h.w.late, func() { _, _ = there() })
		return outcome.Answer{}, unknown
	}
	return there()
}

// Look asks the host's ledger.
func (h *host) Look(key claim.Key) (claim.Result, bool) {
	finding, offset, kind := h.ledger.Find(key, time.Now())
	switch finding {
	case claim.FindingNeverRan:
		return claim.Result{Err: &outcome.Error{Kind: outcome.NotRun}}, true
	case claim.FindingOutcome:
		for _, o := range h.w.log[offset].Outcomes {
			if o.Key == key.String() && kind == outcome.Answered && o.Answer != nil {
				return claim.Result{Answer: *o.Answer}, true
			}
		}
		return claim.Result{Err: &outcome.Error{Kind: outcome.Unknown}}, true
	case claim.FindingNone:
	}
	return claim.Result{}, false
}

// append is the log: it takes a batch or not, and its answer may be lost.
func (h *host) append(b claim.Batch) {
	switch h.w.tape.next(4) {
	case 1:
		return
	case 2:
		h.w.log = append(h.w.log, b)
		return
	}
	h.w.log = append(h.w.log, b)
	h.journal.Done(b.Seq)
}

// read folds some of the log's records.
func (h *host) read(n int) {
	for ; n > 0 && h.readTo < len(h.w.log); n-- {
		h.ledger.Fold(int64(h.readTo), h.w.log[h.readTo], time.Now())
		h.readTo++
	}
}

// stop ends a host gracefully; it settles its journal if the log lets it.
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

// step lets one thing happen, and lets one host read what the log has.
func (w *world) step() {
	w.hosts[w.tape.next(len(w.hosts))].read(w.tape.next(20))
	h := w.hosts[w.tape.next(len(w.hosts))]
	switch w.tape.next(10) {
	case 0, 1, 2:
		key := claim.Issue(h.home, time.Now()).String()
		w.keys = append(w.keys, key)
		w.send(h, key)
	case 3, 4, 5:
		if len(w.keys) > 0 {
			w.send(h, w.keys[w.tape.next(len(w.keys))])
		}
	case 6:
		if b, ok := h.journal.Next(); ok {
			h.append(b)
		}
	case 7:
		w.replace(h, w.tape.next(3) != 1)
	case 8:
		w.deliverLate()
	case 9:
		time.Sleep(time.Duration(w.tape.next(8)) * time.Minute)
	}
}

// replace puts a new incarnation in a host's place.
func (w *world) replace(h *host, gracefully bool) {
	if gracefully {
		h.stop()
	}
	for n := range w.hosts {
		if w.hosts[n] == h {
			w.hosts[n] = w.newHost(h.home.Host)
		}
	}
}

func (w *world) deliverLate() {
	late := w.late
	w.late = nil
	for _, f := range late {
		f()
	}
}

// verdict returns what broke, or "", once all that was under way has arrived.
func (w *world) verdict() string {
	for len(w.late) > 0 {
		w.deliverLate()
	}
	w.asides.Wait()
	for _, key := range w.keys {
		if w.ran[key] > 1 {
			return fmt.Sprintf("key ran %d times, told %v", w.ran[key], w.told[key])
		}
		for _, kind := range w.told[key] {
			switch kind {
			case outcome.NotRun:
				if w.ran[key] > 0 {
					return fmt.Sprintf("key ran, but was told %v", w.told[key])
				}
			case outcome.Answered:
				if w.ran[key] == 0 {
					return fmt.Sprintf("key never ran, but was told %v", w.told[key])
				}
			case outcome.Unknown:
			default:
				return fmt.Sprintf("got %v", w.told[key])
			}
		}
	}
	return ""
}
