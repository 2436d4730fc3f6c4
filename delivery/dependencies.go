package delivery

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"bulrushshed/claim"
	"bulrushshed/outcome"
	"bulrushshed/quarantine"
	"bulrushshed/ratelimit"
	"bulrushshed/service"
)

// Services is the client for the endpoints of services.
type Services interface {
	// Send makes one attempt at a call. Cancelling ctx aborts it.
	Send(ctx context.Context, address string, call service.Call) (outcome.Answer, error)
	// IsDown reports whether nothing accepts connections at an address.
	IsDown(ctx context.Context, address string) bool
}

// Quarantine decides which calls may be sent to replicas.
type Quarantine interface {
	// Admit decides about a call before each attempt.
	Admit(requestID string, features []quarantine.Feature, now time.Time) quarantine.Decision
	// RecordCrash records that a replica crashed as it ran a call, and RecordSuccess that
	// it outlived one which began at a time.
	RecordCrash(features []quarantine.Feature, replica string, now time.Time)
	RecordSuccess(features []quarantine.Feature, began, now time.Time)
}

// Replica is one endpoint of a service.
type Replica struct {
	Endpoint    string
	Address     string
	Incarnation int64
	// HonorsKeys is set if the endpoint runs the call of a key only once,
	// however often it receives the key.
	HonorsKeys bool
}

// Replicas selects the endpoints of services and learns of their failures.
type Replicas interface {
	// Pick returns a replica of the service that is not in tried, and counts
	// the call on it until release is called.
	Pick(service string, tried map[string]bool) (r Replica, release func(), ok bool)
	// Suspect reports that a replica failed a call, and MarkLeaving that a
	// replica said that it accepts no new work.
	Suspect(endpoint string, incarnation int64)
	MarkLeaving(endpoint string, incarnation int64)
}

// incarnation identifies the run of the endpoint's process.
func (r Replica) incarnation() string { return fmt.Sprintf("%s/%d", r.Endpoint, r.Incarnation) }

// Limiter keeps the calls of all hosts to a replica within the limit that it names.
type Limiter interface {
	// Acquire asks for a permit for one call to the given incarnation of a replica.
	Acquire(ctx context.Context, replica string, need ratelimit.Need) ratelimit.Permit
	// ReturnAfter returns when a refused caller should return.
	ReturnAfter(service string, replicas []string, soonest time.Duration, now time.Time) time.Duration
}

// HomeClient forwards calls to the home of their key.
type HomeClient interface {
	// Forward returns the home's answer, or an *outcome.Error.
	Forward(ctx context.Context, home claim.Home, r Request) (outcome.Answer, error)
}

// OutcomeLookup finds the results of keys whose homes have stopped or restarted.
type OutcomeLookup interface {
	// Lookup returns the result of a key's call; ok is false if it is not known.
	Lookup(key claim.Key) (r claim.Result, ok bool)
}

// Journal records results where other hosts can read them later.
type Journal interface {
	Add(key string, r claim.Result)
}

// Gate is the admission control for calls.
type Gate interface {
	// Acquire waits for a slot. The returned function releases it and must be
	// called once; its argument says whether the call ran to completion. The
	// error is an *outcome.Error of kind NotRun.
	Acquire(ctx context.Context, r Request) (release func(served bool), err error)
}

// Counter counts retries and hedges.
type Counter interface {
	// Retried counts a retry of a call of the class, and Hedged a hedge.
	Retried(class string)
	Hedged(class string)
}

// Dependencies are the components that a Deliverer uses.
type Dependencies struct {
	Services   Services
	Replicas   Replicas
	Limiter    Limiter
	Quarantine Quarantine
	HomeClient HomeClient
	Table      *claim.Table
	Journal    Journal
	Outcomes   OutcomeLookup
	Gate       Gate
	Counter    Counter
	Log        *slog.Logger
}
