package delivery

import (
	"context"
	"maps"
	"time"

	"bulrushshed/outcome"
	"bulrushshed/ratelimit"
)

// pickRetryInterval is the time between two searches for a replica.
const pickRetryInterval = 20 * time.Millisecond

// pickReplica waits for a replica that accepts new work. It does not wait after a
// first attempt, since the error of that attempt can then be returned, nor if it is known
// that the replicas take no more calls for longer. It leaves half of the time until the
// deadline for the call itself. The error is an *outcome.Error.
func (d *Deliverer) pickReplica(ctx context.Context, r Request, tried map[string]bool) (Replica, func(), error) {
	if err := d.checkQuarantine(r); err != nil {
		return Replica{}, nil, err
	}
	now := time.Now()
	end := now.Add(min(d.opts.PickWait, r.Deadline.Sub(now)/2))
	for {
		replica, release, e := d.pickPermitted(ctx, r, tried)
		if release != nil {
			return replica, release, nil
		}
		limited := len(e.Replicas) > 0
		if limited && time.Now().Add(e.Wait).Before(end) && len(tried) == 0 && ctx.Err() == nil {
			time.Sleep(max(e.Wait, pickRetryInterval))
			continue
		}
		if limited {
			after := d.Limiter.ReturnAfter(r.Class.Service, e.Replicas, e.Wait, time.Now())
			return Replica{}, nil, limitError(r.Class.Service, after)
		}
		if len(tried) > 0 || ctx.Err() != nil || !time.Now().Before(end) {
			return Replica{}, nil, noReplicaError(r.Class.Service)
		}
		time.Sleep(pickRetryInterval)
	}
}

// pickPermitted picks a replica that takes the call now. If there is none, release is nil,
// and e has the replicas that have reached their limits.
func (d *Deliverer) pickPermitted(ctx context.Context, r Request, tried map[string]bool) (picked Replica, release func(), e ratelimit.Exhausted[Replica]) {
	skip := maps.Clone(tried)
	for {
		replica, release, ok := d.Replicas.Pick(r.Class.Service, skip)
		if !ok {
			return Replica{}, nil, e
		}
		permit := d.Limiter.Acquire(ctx, replica.incarnation(), ratelimit.Need{})
		if permit.Granted {
			return replica, release, e
		}
		release()
		skip[replica.Endpoint] = true
		e.Add(replica, replica.incarnation(), permit.Wait())
	}
}

func noReplicaError(service string) error {
	return &outcome.Error{
		Op: "pick", Kind: outcome.NotRun, Cause: outcome.CauseNoEndpoint,
		Message: "no replica of " + service + " accepts new work", RetryAfter: time.Second,
	}
}

func limitError(service string, after time.Duration) error {
	return &outcome.Error{
		Op: "pick", Kind: outcome.NotRun, Cause: outcome.CauseEndpointLimit,
		Message: "the replicas of " + service + " take no more calls for a moment", RetryAfter: after,
	}
}
