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
	// maxBatchOutcomes and journalAnswer bound a batch of the journal.
	maxBatchOutcomes      = 500
	maxJournalAnswerBytes = 512
	// batchInterval is the least time between two batches of one host, and
	// journalShare the time that each entry host adds to it, so that the
	// fleet as a whole stays within the log's rate of appends.
	batchInterval        = 100 * time.Millisecond
	batchIntervalPerHost = 10 * time.Millisecond
	// finalBatchTimeout bounds the wait for the log at the end of a graceful stop.
	finalBatchTimeout = 5 * time.Second
)

var _ publication.Observer = (*Daemon)(nil)

// Record folds the log's records that are no rules.
func (d *Daemon) Record(r hostlog.Record) {
	if r.Type != hostlog.RecordOutcomes {
		return
	}
	var b claim.Batch
	if err := json.Unmarshal(r.Body, &b); err != nil {
		d.log.Warn("daemon: unreadable batch", "offset", r.Offset, "cause", err.Error())
		return
	}
	if b.Home != d.self {
		d.ledger.Apply(r.Offset, b, time.Now())
	}
}

// runJournal appends outcomes behind the requests until ctx ends.
func (d *Daemon) runJournal(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if b, ok := d.journal.Next(); ok {
				d.appendBatch(b)
			}
			loop.SleepContext(ctx, batchInterval+batchIntervalPerHost*time.Duration(len(d.directory.View().Entries)))
		}
		done <- nil
	}()
	return done
}

// appendBatch appends a batch; one whose answer was lost is appended again,
// which the ledgers take for the same.
func (d *Daemon) appendBatch(b claim.Batch) bool {
	body, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	id := fmt.Sprintf("%s-%d-%d", b.Home.Host, b.Home.Incarnation, b.Seq)
	if _, err := d.platform.Append(hostlog.Entry{ID: id, Type: hostlog.RecordOutcomes, Body: body}); err != nil {
		d.log.Debug("daemon: batch not appended", "seq", b.Seq, "cause", err.Error())
		return false
	}
	d.journal.MarkAppended(b.Seq)
	return true
}

// appendFinalBatch ends the journal of a host that runs no call any more, so that other
// hosts can tell which of its keys never ran.
func (d *Daemon) appendFinalBatch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalBatchTimeout)
	defer cancel()
	for ctx.Err() == nil {
		b, ok := d.journal.FinalBatch()
		if !ok {
			b, ok = d.journal.Next()
		}
		if ok && d.appendBatch(b) && b.Settled {
			return
		}
		loop.SleepContext(ctx, drainPollInterval)
	}
	d.log.Warn("daemon: journal not settled", "pending", d.journal.Pending())
}

// outcomeLookup looks keys up whose homes have gone.
type outcomeLookup struct{ d *Daemon }

var _ delivery.OutcomeLookup = outcomeLookup{}

// Lookup returns what the log knows of a key.
func (p outcomeLookup) Lookup(key claim.Key) (claim.Result, bool) {
	finding, offset, kind := p.d.ledger.Find(key, time.Now())
	if finding == claim.FindingNone {
		p.d.catchUp()
		finding, offset, kind = p.d.ledger.Find(key, time.Now())
	}
	switch finding {
	case claim.FindingNeverRan:
		return claim.Result{Err: &outcome.Error{
			Op: "look back", Kind: outcome.NotRun, Cause: outcome.CauseHomeGone,
			Message: "the key's home has stopped without running its call; take a new key",
		}}, true
	case claim.FindingOutcome:
		return p.outcome(key, offset, kind), true
	case claim.FindingNone:
	}
	return claim.Result{}, false
}

// outcome reads the outcome of a key back from the log.
func (p outcomeLookup) outcome(key claim.Key, offset int64, kind outcome.Kind) claim.Result {
	unknown := claim.Result{Err: &outcome.Error{
		Op: "look back", Kind: outcome.Unknown, Cause: outcome.CauseHomeGone, Message: "the call was sent; its answer is gone",
	}}
	if kind != outcome.Answered {
		return unknown
	}
	page, err := p.d.platform.Read(offset, 1, 0)
	if err != nil || len(page.Records) != 1 || page.Records[0].Offset != offset {
		return unknown
	}
	var b claim.Batch
	if err := json.Unmarshal(page.Records[0].Body, &b); err != nil {
		return unknown
	}
	for _, o := range b.Outcomes {
		if o.Key == key.String() && o.Answer != nil {
			return claim.Result{Answer: *o.Answer}
		}
	}
	return unknown
}
