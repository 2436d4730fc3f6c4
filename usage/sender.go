package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// changeInterval is the time between reports of changes, and renewInterval that
	// between reports of a host that uses the same; the others count it less after 1 s.
	changeInterval = 250 * time.Millisecond
	renewInterval  = 800 * time.Millisecond
	// completeInterval is the time between complete reports. They replace what lost
	// reports would have changed. It is longer if they would take more than completeShare
	// of the bytes that a host may send.
	completeInterval = 2 * time.Second
	completeShare    = 1.0 / 3
	// urgentInterval is the time between a report and the next urgent one, so that what
	// happens at once is sent at once.
	urgentInterval = 20 * time.Millisecond
	// urgentUnits is the increase of the use of an engine, in 1/cellUnits of its KV cache,
	// above which it is reported at once.
	urgentUnits = 20
	// findingInterval is the time between two findings about the same engine.
	findingInterval = 300 * time.Millisecond
	// maxBytesPerSecond bounds what a host sends to all others together over time. Urgent
	// reports may be sent up to urgentBytes in advance of that, and those after
	// renewInterval up to renewBytes, so that the others count this host fully.
	maxBytesPerSecond = 3000
	urgentBytes       = 1000
	renewBytes        = 3000
	// minChanges is the number of engines that a report of changes may always have.
	minChanges = 8
	// messageBytes is the assumed size of the headers of one report.
	messageBytes = 60
	// minWait is the least time between two decisions.
	minWait = 5 * time.Millisecond
)

// Sender decides when this host reports and what. It is safe for concurrent use.
type Sender struct {
	host        HostID
	incarnation int64

	mu  sync.Mutex
	seq uint64
	// sent has the uses as of the last report, and peers the hosts that it was sent to.
	sent  map[uint32]packedUse
	peers []HostID
	// sentAt is when the last report was sent, and completeAt when the last complete one
	// was.
	sentAt, completeAt time.Time
	// paidAt is when the bytes sent so far are within maxBytesPerSecond.
	paidAt time.Time
	// changed and urgent are set if changes are waiting to be sent.
	changed, urgent bool
	findings        map[EngineID]*ownFinding
}

// ownFinding is what this host found out about an engine.
type ownFinding struct {
	// sentKind was sent at sentAt; 0 if nothing has been sent.
	sentKind Kind
	sentAt   time.Time
	// waiting is the kind that is not sent yet, or 0, and until is when a full engine may
	// have capacity.
	waiting Kind
	until   time.Time
	foundAt time.Time
}

// NewSender returns the sender of a host that started at the given time.
func NewSender(host HostID, started time.Time) *Sender {
	return &Sender{host: host, incarnation: started.UnixMilli(), sent: map[uint32]packedUse{}, findings: map[EngineID]*ownFinding{}}
}

// Find records what this host found out about an engine. until is when a full engine may
// have capacity.
func (s *Sender) Find(e EngineID, k Kind, until, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.findings, func(_ EngineID, f *ownFinding) bool { return now.Sub(f.foundAt) > downAvoidance })
	f, ok := s.findings[e]
	if !ok {
		f = &ownFinding{}
		s.findings[e] = f
	}
	f.waiting, f.until, f.foundAt = k, until, now
}

// HasFound reports whether this host has told the others recently, or is about to tell
// them, that an engine is of a kind.
func (s *Sender) HasFound(e EngineID, k Kind, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.findings[e]
	if !ok {
		return false
	}
	return cmp.Or(f.waiting, f.sentKind) == k && now.Sub(f.foundAt) <= downAvoidance
}

// Next returns the report to send to the given hosts now; ok is false if none is due. A host
// that does not serve callers reports only while it has uses, and that they have ended.
func (s *Sender) Next(uses []Use, serving bool, peers []HostID, now time.Time) (r Report, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := map[uint32]packedUse{}
	for _, u := range uses {
		if p := u.pack(); p != 0 {
			current[u.Engine.key()] = p
		}
	}
	changes := s.changes(current)
	newPeer := slices.ContainsFunc(peers, func(id HostID) bool { return !slices.Contains(s.peers, id) })
	if len(peers) == 0 || !serving && len(current)+len(s.sent) == 0 {
		s.peers = nil
		return Report{}, false
	}
	due := s.dueFindings(now)
	if !s.allowed(newPeer, len(due) > 0, now) {
		return Report{}, false
	}
	r = Report{Host: s.host, Incarnation: s.incarnation, Seq: s.seq + 1, Uses: changes, Findings: due}
	if newPeer || now.Sub(s.completeAt) >= completeIntervalFor(len(current), len(peers)) {
		r.Complete = true
		r.Uses = allUses(current)
		s.completeAt = now
		clear(s.sent)
	} else {
		r.Uses = s.largest(changes, maxChanges(len(peers)))
	}
	s.record(r, peers, now)
	s.changed = len(r.Uses) < len(changes) && !r.Complete
	return r, true
}

// completeIntervalFor returns the time between complete reports of a number of engines.
func completeIntervalFor(engines, peers int) time.Duration {
	pay := payTime((headerBytes + messageBytes + engines*useBytes) * peers)
	return max(completeInterval, time.Duration(float64(pay)/completeShare))
}

// maxChanges returns the number of engines in a report of changes that can be sent each
// renewInterval with what complete reports leave.
func maxChanges(peers int) int {
	bytes := maxBytesPerSecond * (1 - completeShare) * renewInterval.Seconds() / float64(peers)
	return max((int(bytes)-messageBytes-headerBytes)/useBytes, minChanges)
}

// largest returns the n largest changes.
func (s *Sender) largest(changes []Use, n int) []Use {
	if len(changes) <= n {
		return changes
	}
	size := func(u Use) int {
		d := u.pack().units() - s.sent[u.Engine.key()].units()
		return max(d, -d)
	}
	slices.SortStableFunc(changes, func(a, b Use) int { return cmp.Compare(size(b), size(a)) })
	return changes[:n]
}

// HasSent reports whether any report was sent.
func (s *Sender) HasSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq > 0
}

// Last returns the report with which this host ends.
func (s *Sender) Last() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return Report{Host: s.host, Incarnation: s.incarnation, Seq: s.seq, Complete: true, Last: true}
}

// Wait returns the time until the next report may be due, unless something changes before.
func (s *Sender) Wait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 {
		return renewInterval
	}
	at := later(s.sentAt.Add(renewInterval), s.paidAt.Add(-payTime(renewBytes)))
	if s.changed {
		at = earlier(at, later(s.sentAt.Add(changeInterval), s.paidAt))
	}
	urgentAt := later(s.sentAt.Add(urgentInterval), s.paidAt.Add(-payTime(urgentBytes)))
	if s.urgent {
		at = earlier(at, urgentAt)
	}
	for _, f := range s.findings {
		if f.waiting != 0 {
			at = earlier(at, later(f.sentAt.Add(findingInterval), urgentAt))
		}
	}
	return max(at.Sub(now), minWait)
}

// changes returns the uses that differ from those sent, and notes whether they are urgent.
func (s *Sender) changes(current map[uint32]packedUse) (changes []Use) {
	s.urgent = false
	for key, p := range current {
		if old := s.sent[key]; p != old {
			changes = append(changes, p.use(key))
			s.urgent = s.urgent || p.units()-old.units() > urgentUnits
		}
	}
	for key := range s.sent {
		if _, used := current[key]; !used {
			changes = append(changes, packedUse(0).use(key))
		}
	}
	s.changed = len(changes) > 0
	sortUses(changes)
	return changes
}

// allowed reports whether a report may be sent now.
func (s *Sender) allowed(newPeer, found bool, now time.Time) bool {
	since, debt := now.Sub(s.sentAt), s.paidAt.Sub(now)
	switch {
	case since >= renewInterval:
		return debt <= payTime(renewBytes)
	case s.changed && since >= changeInterval && debt <= 0, newPeer && since >= urgentInterval && debt <= 0:
		return true
	}
	return (s.urgent || found) && since >= urgentInterval && debt <= payTime(urgentBytes)
}

// record records that a report is sent to the given hosts.
func (s *Sender) record(r Report, peers []HostID, now time.Time) {
	s.seq, s.sentAt = r.Seq, now
	s.peers = slices.Clone(peers)
	s.urgent = false
	for _, u := range r.Uses {
		if p := u.pack(); p == 0 {
			delete(s.sent, u.Engine.key())
		} else {
			s.sent[u.Engine.key()] = p
		}
	}
	s.paidAt = later(s.paidAt, now).Add(payTime((len(r.Encode()) + messageBytes) * len(peers)))
	for _, f := range r.Findings {
		own := s.findings[f.Engine]
		own.sentKind, own.sentAt, own.waiting = f.Kind, now, 0
	}
}

// dueFindings returns the findings that may be sent now.
func (s *Sender) dueFindings(now time.Time) (due []Finding) {
	for id, f := range s.findings {
		if f.waiting == Full && !now.Before(f.until) || now.Sub(f.foundAt) > downAvoidance {
			f.waiting = 0
		}
		if f.waiting == 0 || now.Sub(f.sentAt) < findingInterval || len(due) == maxFindings {
			continue
		}
		due = append(due, Finding{Engine: id, Kind: f.waiting, Left: max(f.until.Sub(now), 0)})
	}
	slices.SortFunc(due, func(a, b Finding) int { return cmp.Compare(a.Engine, b.Engine) })
	return due
}

// payTime returns the time in which a host may send a number of bytes.
func payTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / maxBytesPerSecond
}

func (p packedUse) use(key uint32) Use {
	return Use{Engine: EngineID(key), Cells: p.cells(), Streams: p.streams()}
}

func allUses(current map[uint32]packedUse) (all []Use) {
	for key, p := range current {
		all = append(all, p.use(key))
	}
	sortUses(all)
	return all
}

func sortUses(all []Use) {
	slices.SortFunc(all, func(a, b Use) int { return cmp.Compare(a.Engine, b.Engine) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
