package delivery

import (
	"context"
	"time"

	"bulrushshed/outcome"
)

// reachTimeout bounds the check of a replica whose answer broke off.
const reachTimeout = 200 * time.Millisecond

// checkQuarantine returns the *outcome.Error of a call that may crash replicas, or nil.
func (d *Deliverer) checkQuarantine(r Request) error {
	decision := d.Quarantine.Admit(r.ID, r.features(), time.Now())
	if decision.Admitted {
		return nil
	}
	return &outcome.Error{
		Op: "deliver", Kind: outcome.NotRun, Cause: outcome.CauseQuarantined, RetryAfter: decision.ReturnAfter(),
		Message: "replicas crashed when they ran this call",
	}
}

// observeEnd records whether a replica outlived a call.
func (d *Deliverer) observeEnd(ctx context.Context, r Request, to Replica, sentAt time.Time, err error) {
	if err == nil {
		d.Quarantine.RecordSuccess(r.features(), sentAt, time.Now())
		return
	}
	if ctx.Err() != nil || isNotRun(err) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	if d.Services.IsDown(ctx, to.Address) {
		d.Quarantine.RecordCrash(r.features(), to.incarnation(), time.Now())
	}
}
