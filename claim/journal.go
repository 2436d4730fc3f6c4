package claim

import (
	"sync"

	"bulrushshed/outcome"
)

// Outcome is the outcome of the call of one key.
type Outcome struct {
	Key  string       `json:"key"`
	Kind outcome.Kind `json:"kind"`
	// Answer is nil if there is none, or if it was too large to keep.
	Answer *outcome.Answer `json:"answer,omitempty"`
}

// Batch is one record of a home's journal. A home's batches are numbered from 1
// without gaps and appended in order. A batch may be in the log twice if its
// first append was not acknowledged.
type Batch struct {
	Home     Home      `json:"home"`
	Seq      int64     `json:"seq"`
	Outcomes []Outcome `json:"outcomes"`
	// Settled is set on a home's last batch: the home has stopped, and its
	// batches hold every key whose call may have run.
	Settled bool `json:"settled"`
}

// Journal collects a home's outcomes into batches. It is safe for concurrent use.
type Journal struct {
	home           Home
	maxOutcomes    int
	maxAnswerBytes int

	mu sync.Mutex
	// pending are the outcomes that are in no batch yet.
	pending []Outcome
	// inFlight is the batch that is being appended, or nil.
	inFlight *Batch
	seq      int64
	// appended are the latest batches in the log, and lost those that are to be appended
	// again, as a restore may have taken them from the log. Both are in order.
	appended []Batch
	lost     []Batch
	// era is the newest era of the log that was observed, or 0.
	era int64
}

// maxAppended is the number of batches that can be appended again after a restore.
const maxAppended = 256

// NewJournal returns an empty journal whose batches hold up to maxOutcomes
// outcomes, with answers of up to maxAnswerBytes bytes.
func NewJournal(h Home, maxOutcomes, maxAnswerBytes int) *Journal {
	return &Journal{home: h, maxOutcomes: maxOutcomes, maxAnswerBytes: maxAnswerBytes}
}

// Add records the result of a call. A call that certainly did not run is not
// recorded: a key that a settled journal does not contain never ran.
func (j *Journal) Add(key string, r Result) {
	o := Outcome{Key: key, Kind: outcome.Answered}
	switch {
	case r.Err != nil && r.Err.Kind == outcome.NotRun:
		return
	case r.Err != nil:
		o.Kind = r.Err.Kind
	case len(r.Answer.Body) <= j.maxAnswerBytes:
		o.Answer = &r.Answer
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = append(j.pending, o)
}

// Next returns the batch to append: the batch in flight until MarkAppended is
// called for it, and then a batch of pending outcomes. ok is false if there is
// neither.
func (j *Journal) Next() (b Batch, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.inFlight == nil && len(j.lost) > 0 {
		j.inFlight = &j.lost[0]
		j.lost = j.lost[1:]
	}
	if j.inFlight == nil && len(j.pending) > 0 {
		n := min(len(j.pending), j.maxOutcomes)
		j.startBatch(n, false)
	}
	if j.inFlight == nil {
		return Batch{}, false
	}
	return *j.inFlight, true
}

func (j *Journal) startBatch(n int, settled bool) {
	j.seq++
	j.inFlight = &Batch{Home: j.home, Seq: j.seq, Outcomes: j.pending[:n:n], Settled: settled}
	j.pending = j.pending[n:]
}

// Settle ends the journal and returns its last batch. It does nothing and ok is
// false while another batch is in flight or outcomes are pending. It may be called
// only when no call runs any more.
func (j *Journal) Settle() (b Batch, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.inFlight != nil && j.inFlight.Settled {
		return *j.inFlight, true
	}
	if j.inFlight != nil || len(j.lost) > 0 || len(j.pending) > 0 {
		return Batch{}, false
	}
	j.startBatch(0, true)
	return *j.inFlight, true
}

// MarkAppended records that a batch is in the log.
func (j *Journal) MarkAppended(seq int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.inFlight == nil || j.inFlight.Seq != seq {
		return
	}
	j.appended = append(j.appended, *j.inFlight)
	if len(j.appended) > maxAppended {
		j.appended = j.appended[1:]
	}
	j.inFlight = nil
}

// ObserveEra records the era of the log. In a new one, the latest batches are appended
// again: the log was restored from a backup, which may lack them.
func (j *Journal) ObserveEra(era int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.era > 0 && era > j.era {
		j.lost = append(j.appended, j.lost...)
		j.appended = nil
		if j.inFlight != nil {
			// Its append may be part of what was lost, and follows the others in order.
			j.lost = append(j.lost, *j.inFlight)
			j.inFlight = nil
		}
	}
	j.era = max(j.era, era)
}

// Pending returns the number of outcomes that are not in the log yet.
func (j *Journal) Pending() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.pending)
	if j.inFlight != nil {
		n += len(j.inFlight.Outcomes)
	}
	return n
}
