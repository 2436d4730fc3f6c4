package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bulrushshed/claim"
	"bulrushshed/delivery"
	"bulrushshed/hostlog"
	"bulrushshed/loop"
	"bulrushshed/outcome"
	"bulrushshed/publication"
)

const (
	// maxBatchOutcomes and maxJournalAnswerBytes limit a journal batch and the
	// size of each answer in it.
	maxBatchOutcomes      = 500
	maxJournalAnswerBytes = 512
	// batchInterval is the minimum time between two batches of one host.
	// batchIntervalPerHost is added to it for each entry host, which keeps the
	// whole fleet within the log's append rate.
	batchInterval        = 100 * time.Millisecond
	batchIntervalPerHost = 10 * time.Millisecond
	// finalBatchTimeout limits how long a graceful shutdown waits for the log to
	// accept the final batch.
	finalBatchTimeout = 5 * time.Second
)

var _ publication.Observer = (*Daemon)(nil)

// ObserveRecord applies outcome batches of other hosts from the log to the ledger. The
// follower itself handles the other types of record.
func (d *Daemon) ObserveRecord(r hostlog.Record) {
	if r.Type != hostlog.RecordOutcomes {
		return
	}
	var b claim.Batch
	if err := json.Unmarshal(r.Body, &b); err != nil {
		d.log.Warn("daemon: log record ignored, because its outcome batch cannot be decoded", "offset", r.Offset, "cause", err.Error())
		return
	}
	if b.Home != d.self {
		d.ledger.Apply(r.Offset, b, time.Now())
	}
}

// runJournal appends outcomes to the log in the background until ctx is
// cancelled. Requests do not wait for it.
func (d *Daemon) runJournal(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			d.journal.ObserveEra(d.platform.Era())
			if b, ok := d.journal.Next(); ok {
				d.appendBatch(b)
			}
			loop.SleepContext(ctx, batchInterval+batchIntervalPerHost*time.Duration(len(d.directory.View().Entries)))
		}
		done <- nil
	}()
	return done
}

// appendBatch appends a batch and reports whether the log acknowledged it. A
// batch that was not acknowledged is appended again later; the ledgers ignore
// duplicates.
func (d *Daemon) appendBatch(b claim.Batch) bool {
	body, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	id := fmt.Sprintf("%s-%d-%d", b.Home.Host, b.Home.Incarnation, b.Seq)
	if _, err := d.platform.Append(hostlog.Entry{ID: id, Type: hostlog.RecordOutcomes, Body: body}); err != nil {
		d.log.Debug("daemon: appending outcome batch failed; it stays in the journal", "seq", b.Seq, "cause", err.Error())
		return false
	}
	d.journal.MarkAppended(b.Seq)
	return true
}

// appendFinalBatch appends the rest of the journal and marks it as complete. It
// is called once no call runs on this host. From a complete journal, other hosts
// can tell which of this host's keys never ran.
func (d *Daemon) appendFinalBatch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalBatchTimeout)
	defer cancel()
	for ctx.Err() == nil {
		d.journal.ObserveEra(d.platform.Era())
		b, ok := d.journal.Settle()
		if !ok {
			b, ok = d.journal.Next()
		}
		if ok && d.appendBatch(b) && b.Settled {
			return
		}
		loop.SleepContext(ctx, drainPollInterval)
	}
	d.log.Warn("daemon: final journal batch not appended in time; other hosts cannot tell which of this host's keys never ran", "pending", d.journal.Pending())
}

// outcomeLookup looks up keys whose homes have stopped or restarted.
type outcomeLookup struct{ d *Daemon }

var _ delivery.OutcomeLookup = outcomeLookup{}

// Lookup returns the result that the log records for a key, and whether it
// records one.
func (l outcomeLookup) Lookup(key claim.Key) (claim.Result, bool) {
	finding, offset, kind := l.d.ledger.Find(key, time.Now())
	if finding == claim.FindingNone {
		l.d.catchUp()
		finding, offset, kind = l.d.ledger.Find(key, time.Now())
	}
	switch finding {
	case claim.FindingNeverRan:
		return claim.Result{Err: &outcome.Error{
			Op: "look back", Kind: outcome.NotRun, Cause: outcome.CauseHomeGone,
			Message: "the key's home stopped without running the call; use a new key",
		}}, true
	case claim.FindingOutcome:
		return l.outcome(key, offset, kind), true
	case claim.FindingNone:
	}
	return claim.Result{}, false
}

// outcome returns the recorded outcome of a key. The ledger holds only its kind,
// so an answer is read again from the log.
func (l outcomeLookup) outcome(key claim.Key, offset int64, kind outcome.Kind) claim.Result {
	unknown := claim.Result{Err: &outcome.Error{
		Op: "look back", Kind: outcome.Unknown, Cause: outcome.CauseHomeGone, Message: "the call was sent; its answer is no longer available",
	}}
	if kind != outcome.Answered {
		return unknown
	}
	r, ok, err := l.d.platform.ReadAt(offset)
	if err != nil || !ok {
		return unknown
	}
	var b claim.Batch
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return unknown
	}
	for _, o := range b.Outcomes {
		if o.Key == key.String() && o.Answer != nil {
			return claim.Result{Answer: *o.Answer}
		}
	}
	return unknown
}
