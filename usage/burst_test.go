package usage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/ingress"
	"bulrushshed/pipeline"
	"bulrushshed/replica"
	"bulrushshed/route"
	"bulrushshed/usage"
)

const (
	burstHosts   = 8
	burstEngines = 33
	burstStreams = 200
	// burstStages is the number of engines in a path; each stage has 11 engines.
	burstStages = 3
	stageLayers = 8
	burstLength = 300 * time.Millisecond
	reportDelay = 250 * time.Millisecond
	tick        = 5 * time.Millisecond
)

var burstModel = &ingress.Model{
	Layers: burstStages * stageLayers, LayerMB: 100, KVTokenMB: 2.4, StepTime: 10 * time.Millisecond,
	Accelerators: map[string]ingress.Accelerator{"k": {MemoryMB: 20500, Slowness: 1}},
}

// simulation is a failure domain of hosts that place streams. Reports are delivered after
// a delay, if at all.
type simulation struct {
	view     *replica.View
	hosts    []*simulatedHost
	now      time.Time
	delay    time.Duration
	inFlight []delivery
	// cells has what all hosts use of each engine, and capacity what it has.
	cells    map[string]float64
	capacity float64
	// excess counts the placements on engines that had no capacity for them, and peak is
	// the highest use of an engine as a fraction of its capacity.
	excess int
	peak   float64
	// failed counts the streams without a path.
	failed int
}

type simulatedHost struct {
	planner *pipeline.Planner
	table   *usage.Table
	sender  *usage.Sender
	id      usage.HostID
	peers   []usage.HostID
}

type delivery struct {
	to   int
	body []byte
	at   time.Time
}

func newSimulation(reports bool) *simulation {
	s := &simulation{now: start, delay: reportDelay, cells: map[string]float64{}}
	s.view = engines(0)
	s.capacity = burstModel.KVCells(burstModel.Accelerators["k"], stageLayers)
	for i := range burstHosts {
		h := &simulatedHost{table: usage.NewTable(), id: usage.HostID(i + 1)}
		h.sender = usage.NewSender(h.id, start)
		for j := range burstHosts {
			if j != i {
				h.peers = append(h.peers, usage.HostID(j+1))
			}
		}
		h.table.SetServing(h.peers)
		opts := pipeline.Options{FailureDomain: "a", LocalHosts: func() int { return burstHosts }}
		if reports {
			opts.Others = h.table
		}
		h.planner = pipeline.NewPlanner(opts)
		s.hosts = append(s.hosts, h)
	}
	return s
}

// engines returns a view of all engines but the last n of each stage.
func engines(n int) *replica.View {
	l := replica.NewList(time.Second)
	for i := range burstEngines - n*burstStages {
		from := i % burstStages * stageLayers
		l.Put(replica.Replica{
			ID: fmt.Sprintf("e%d", i), Service: "s", Address: fmt.Sprintf("e%d", i), FailureDomain: "a", Started: 1, Accelerator: "k",
			Layers: route.Range{From: from, To: from + stageLayers},
		})
	}
	return l.View()
}

// place places a stream at a host, and counts what exceeds the capacity.
func (s *simulation) place(host, tokens int) {
	r, _, err := s.hosts[host].planner.Path(s.view, pipeline.PathRequest{Service: "s", Model: burstModel, Tokens: tokens}, s.now)
	if err != nil {
		s.failed++
		return
	}
	for _, h := range r.Hops {
		s.cells[h.Address] += float64(tokens * h.Layers.Len())
		used := s.cells[h.Address] / s.capacity
		s.peak = max(s.peak, used)
		if used > 1 {
			s.excess++
		}
	}
}

// step sends and delivers what is due, and advances the clock.
func (s *simulation) step() {
	for i, h := range s.hosts {
		r, ok := h.sender.Next(h.planner.Uses(), true, h.peers, s.now)
		if !ok {
			continue
		}
		for to := range s.hosts {
			if to != i {
				s.inFlight = append(s.inFlight, delivery{to: to, body: r.Encode(), at: s.now.Add(s.delay)})
			}
		}
	}
	waiting := s.inFlight[:0]
	for _, d := range s.inFlight {
		if d.at.After(s.now) {
			waiting = append(waiting, d)
			continue
		}
		r, err := usage.Decode(d.body)
		if err != nil {
			panic(err)
		}
		s.hosts[d.to].table.Merge(r, s.now)
	}
	s.inFlight = waiting
	s.now = s.now.Add(tick)
}

// playBurst places long streams at a few hosts, as callers keep their connections, while
// the last engines of each stage are not listed yet, and then a burst at all hosts.
func playBurst(reports bool, lateEngines int, seed uint64) *simulation {
	const backgroundStreams, backgroundHosts, maxTokens = 80, 3, 1100
	s := newSimulation(reports)
	rng := rand.New(rand.NewPCG(seed, 1))
	s.view = engines(lateEngines)
	for range backgroundStreams {
		s.place(rng.IntN(backgroundHosts), 300+rng.IntN(maxTokens))
		for range 5 {
			s.step()
		}
	}
	s.view = engines(0)
	for range 100 {
		s.step()
	}
	burstEnd := s.now.Add(burstLength)
	for placed := 0; placed < burstStreams; s.step() {
		due := burstStreams - int(burstEnd.Sub(s.now)*burstStreams/burstLength)
		for ; placed < min(due, burstStreams); placed++ {
			s.place(rng.IntN(burstHosts), 300+rng.IntN(maxTokens))
		}
	}
	return s
}

// Hosts that place a burst of streams without knowing of each other's overload some engines
// while others are free. Reports must prevent most of that, although those of the burst
// itself come too late: hosts that all know the same and choose the same engine would
// overload it.
func TestReportsReduceOverloadInBurst(t *testing.T) {
	t.Parallel()
	const seeds, maxPeak = 10, 1.3
	for _, c := range []struct {
		name        string
		lateEngines int
		// reduces is set if the use of the engines differs before the burst. Otherwise, what
		// a host uses itself tells as much as reports that come too late.
		reduces bool
	}{{"engines joined late", 7, true}, {"uniform use", 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			with, without := 0, 0
			for seed := range uint64(seeds) {
				reports, none := playBurst(true, c.lateEngines, seed), playBurst(false, c.lateEngines, seed)
				if reports.peak > maxPeak {
					t.Errorf("got an engine at %.2f of its capacity with seed %d, want at most %v", reports.peak, seed, maxPeak)
				}
				is.New(t).Equal(reports.failed, 0)
				with += reports.excess
				without += none.excess
			}
			t.Logf("got %d placements beyond the capacity with reports, %d without", with, without)
			if c.reduces && 3*with >= without {
				t.Errorf("got %d placements beyond the capacity with reports, want under a third of %d", with, without)
			}
		})
	}
}
