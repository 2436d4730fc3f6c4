package claim

import (
	"sync"

	"bulrushshed/outcome"
)

// Outcome is what became of the call of one key.
type Outcome struct {
	Key  string       `json:"key"`
	Kind outcome.Kind `json:"kind"`
	// Answer is nil if there is none, or if it was too large to keep.
	Answer *outcome.Answer `json:"answer,omitempty"`
}

// Batch is one record of a home's journal. A home's batches are numbered from
// 1 without a gap, and appended in order; a batch whose append was in doubt
// may stand in the log twice.
type Batch struct {
	Home     Home      `json:"home"`
	Seq      int64     `json:"seq"`
	Outcomes []Outcome `json:"outcomes"`
	// Settled is set on a home's last batch: it has stopped, and every key
	// whose call may have run stands in a batch.
	Settled bool `json:"settled"`
}

// Journal gathers a home's outcomes into batches. It is safe for concurrent
// use.
type Journal struct {
	home      Home
	maxItems  int
	maxAnswer int

	mu sync.Mutex
	// pending are the outcomes behind those of the batch in hand.
	pending []Outcome
	// hand is the batch that is being appended, nil if there is none.
	hand *Batch
	seq  int64
}

// NewJournal returns an empty journal whose batches hold up to maxItems
// outcomes, with answers up to maxAnswer bytes.
func NewJournal(h Home, maxItems, maxAnswer int) *Journal {
	return &Journal{home: h, maxItems: maxItems, maxAnswer: maxAnswer}
}

// Add notes the result of a call. A call that surely did not run leaves no
// trace, since its key may still be used.
func (j *Journal) Add(key string, r Result) {
	o := Outcome{Key: key, Kind: outcome.Answered}
	switch {
	case r.Err != nil && r.Err.Kind == outcome.NotRun:
		return
	case r.Err != nil:
		o.Kind = r.Err.Kind
	case len(r.Answer.Body) <= j.maxAnswer:
		o.Answer = &r.Answer
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = append(j.pending, o)
}

// Next returns the batch to append now: the one in hand until Done is called
// for it, and then one of what is pending. ok is false if there is nothing.
func (j *Journal) Next() (b Batch, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.hand == nil && len(j.pending) > 0 {
		n := min(len(j.pending), j.maxItems)
		j.take(n, false)
	}
	if j.hand == nil {
		return Batch{}, false
	}
	return *j.hand, true
}

func (j *Journal) take(n int, settled bool) {
	j.seq++
	j.hand = &Batch{Home: j.home, Seq: j.seq, Outcomes: j.pending[:n:n], Settled: settled}
	j.pending = j.pending[n:]
}

// Settle returns the last batch, once all others are done and no call runs any
// more; ok is false while a batch is in hand or pending.
func (j *Journal) Settle() (b Batch, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.hand != nil && j.hand.Settled {
		return *j.hand, true
	}
	if j.hand != nil || len(j.pending) > 0 {
		return Batch{}, false
	}
	j.take(0, true)
	return *j.hand, true
}

// Done tells that a batch stands in the log.
func (j *Journal) Done(seq int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.hand != nil && j.hand.Seq == seq {
		j.hand = nil
	}
}

// Pending returns the number of outcomes that are not in the log yet.
func (j *Journal) Pending() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := len(j.pending)
	if j.hand != nil {
		n += len(j.hand.Outcomes)
	}
	return n
}
