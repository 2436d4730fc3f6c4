package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// fullWeightAge is the age up to which a report counts fully, and maxAge that up to
	// which it counts half. The streams of a host that has been silent for longer have
	// ended, or it is partitioned.
	fullWeightAge = time.Second
	maxAge        = 3 * time.Second
	agedWeight    = 0.5
	// forgetAfter is how long a host that does not serve is remembered after its last
	// report, so that its late reports are recognized.
	forgetAfter = time.Minute
	// downAvoidance is how long an engine that another host found down is avoided, and
	// maxFullAvoidance the most that one found full is. They are those of the findings of
	// this host.
	downAvoidance    = 4 * time.Second
	maxFullAvoidance = 300 * time.Millisecond
	// maxRemembered bounds the engines whose findings are remembered for each host. An
	// older finding may be applied again if there are more.
	maxRemembered = 1024
)

// Table has what the other hosts reported. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	hosts map[HostID]*hostReport
	// serving has the other hosts that serve callers of the failure domain.
	serving []HostID
	avoids  map[EngineID]avoidance
	// load is the current sum; nil if it must be computed.
	load *Load
}

// hostReport is what one host last reported.
type hostReport struct {
	incarnation int64
	seq         uint64
	at          time.Time
	// complete is set once a complete report has been received, and last after the last
	// one.
	complete, last bool
	uses           map[uint32]packedUse
	// findingSeqs has the reports of the latest finding about each engine.
	findingSeqs map[EngineID]uint64
}

// NewTable returns a table without reports.
func NewTable() *Table {
	return &Table{hosts: map[HostID]*hostReport{}, avoids: map[EngineID]avoidance{}}
}

// SetServing sets the other hosts that serve callers of the failure domain. Those that
// have never reported count as the mean of the others.
func (t *Table) SetServing(hosts []HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(t.serving, hosts) {
		t.serving = slices.Clone(hosts)
		t.load = nil
	}
}

// Merge records the report of another host unless a newer one is known. It returns those
// of its findings that are new, which the caller may pass to Apply.
func (t *Table) Merge(r Report, now time.Time) (findings []Finding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	h, known := t.hosts[r.Host]
	if known && r.Incarnation < h.incarnation && now.Sub(h.at) <= maxAge {
		return nil
	}
	if !known || r.Incarnation != h.incarnation {
		// The uses of the incarnation before end with it.
		h = &hostReport{incarnation: r.Incarnation, uses: map[uint32]packedUse{}, findingSeqs: map[EngineID]uint64{}}
		t.hosts[r.Host] = h
	}
	findings = h.newFindings(r)
	if r.Seq <= h.seq {
		return findings
	}
	h.seq, h.at = r.Seq, now
	h.last = r.Last
	if r.Complete {
		h.complete = true
		clear(h.uses)
	}
	for _, u := range r.Uses {
		if p := u.pack(); p == 0 {
			delete(h.uses, u.Engine.key())
		} else {
			h.uses[u.Engine.key()] = p
		}
	}
	t.load = nil
	return findings
}

// newFindings returns the findings of a report for whose engines no newer one is known.
// Reports may overtake each other, so a finding may come after a newer report of uses.
func (h *hostReport) newFindings(r Report) (all []Finding) {
	for _, f := range r.Findings {
		if r.Seq <= h.findingSeqs[f.Engine] {
			continue
		}
		if len(h.findingSeqs) >= maxRemembered {
			clear(h.findingSeqs)
		}
		h.findingSeqs[f.Engine] = r.Seq
		all = append(all, f)
	}
	return all
}

// Apply avoids an engine because of a finding of another host, or ends that.
func (t *Table) Apply(from HostID, f Finding, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	old, avoided := t.avoids[f.Engine]
	switch {
	case f.Kind == Down:
		t.avoids[f.Engine] = avoidance{kind: Down, from: from, until: now.Add(downAvoidance)}
	case f.Kind == Full && (!avoided || old.kind == Full):
		t.avoids[f.Engine] = avoidance{kind: Full, from: from, until: now.Add(min(f.Left, maxFullAvoidance))}
	case f.Kind == Back:
		delete(t.avoids, f.Engine)
	}
	t.load = nil
}

// Forget ends the avoidance of an engine of which this host has found out that it is not
// of the given kind. It reports whether the engine was avoided for that.
func (t *Table) Forget(e EngineID, k Kind, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.avoids[e]
	if !ok || a.kind != k || !now.Before(a.until) {
		return false
	}
	delete(t.avoids, e)
	t.load = nil
	return true
}

// Load returns what the other hosts use now.
func (t *Table) Load(now time.Time) *Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.load == nil || !now.Before(t.load.validUntil) {
		t.expire(now)
		t.load = t.sum(now)
	}
	return t.load
}

// RecentHosts returns the hosts that have reported recently.
func (t *Table) RecentHosts(now time.Time) []HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []HostID
	for id, h := range t.hosts {
		if h.weight(now) > 0 {
			recent = append(recent, id)
		}
	}
	return recent
}

// weight returns how much the report of a host counts.
func (h *hostReport) weight(now time.Time) float64 {
	switch age := now.Sub(h.at); {
	case !h.complete || h.last || age > maxAge:
		return 0
	case age > fullWeightAge:
		return agedWeight
	}
	return 1
}

func (t *Table) sum(now time.Time) *Load {
	l := &Load{byKey: map[uint32]engineLoad{}, avoids: maps.Clone(t.avoids), validUntil: now.Add(maxAge)}
	reporting := 0
	for _, h := range t.hosts {
		weight := h.weight(now)
		if weight == 0 {
			continue
		}
		reporting++
		for key, p := range h.uses {
			e := l.byKey[key]
			e.cells += weight * p.cells()
			e.streams += weight * float64(p.streams())
			l.byKey[key] = e
		}
		l.limitValidity(h.at.Add(fullWeightAge+1), now)
		l.limitValidity(h.at.Add(maxAge+1), now)
	}
	for _, a := range t.avoids {
		l.limitValidity(a.until, now)
	}
	l.known = reporting > 0
	silent := 0
	for _, id := range t.serving {
		if h, ok := t.hosts[id]; !ok || !h.complete {
			silent++
		}
	}
	l.hosts = reporting + silent
	if l.known && silent > 0 {
		factor := float64(l.hosts) / float64(reporting)
		for key, e := range l.byKey {
			l.byKey[key] = engineLoad{cells: e.cells * factor, streams: e.streams * factor}
		}
	}
	return l
}

func (l *Load) limitValidity(end, now time.Time) {
	if end.After(now) && end.Before(l.validUntil) {
		l.validUntil = end
	}
}

// expire removes what is no longer used.
func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.avoids, func(_ EngineID, a avoidance) bool { return !now.Before(a.until) })
	maps.DeleteFunc(t.hosts, func(id HostID, h *hostReport) bool {
		return now.Sub(h.at) > forgetAfter && !slices.Contains(t.serving, id)
	})
}
