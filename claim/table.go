package claim

import (
	"sync"
	"time"

	"bulrushshed/outcome"
)

// Result is the result of the call of a key.
type Result struct {
	Answer outcome.Answer
	// Err is nil if there is an answer.
	Err *outcome.Error
}

// Verdict is what a home does with a call.
type Verdict string

// The verdicts of a table.
const (
	// VerdictRun means that the key is claimed for the caller of Begin, which
	// must run the call once and then call Finish.
	VerdictRun Verdict = "run"
	// VerdictWait means that the call is running.
	VerdictWait Verdict = "wait"
	// VerdictReplay means that the call has ended and its result is kept.
	VerdictReplay Verdict = "replay"
	// VerdictReused means that the key was first used for another call.
	VerdictReused Verdict = "reused"
	// VerdictFull means that the table has no room for a new key.
	VerdictFull Verdict = "full"
	// VerdictClosed means that the home accepts no new keys.
	VerdictClosed Verdict = "closed"
	// VerdictExpired means that the key is so old that its claim may have been
	// dropped.
	VerdictExpired Verdict = "expired"
)

// Options configures a Table.
type Options struct {
	// KeyTTL is how long a key may be used after it was issued.
	KeyTTL time.Duration
	// Capacity is the maximum number of keys in the table.
	Capacity int
	// MaxAnswerBytes is the size in bytes up to which an answer is kept.
	MaxAnswerBytes int
}

// Claim is a key in the table.
type Claim struct {
	// fingerprint detects that different calls use the same key.
	fingerprint uint64
	// expires is the time from which the key can no longer be used.
	expires time.Time
	// done is closed once result is set; result is immutable from then on.
	done   chan struct{}
	result Result
}

// Done returns a channel that is closed once the call has ended.
func (c *Claim) Done() <-chan struct{} { return c.done }

// Result returns the result of the call. It may only be called after Done is
// closed.
func (c *Claim) Result() Result { return c.result }

// Table holds the claims of one home. It is safe for concurrent use. Its lock is
// last in the lock order: no other lock is acquired and no call is sent while it is
// held.
type Table struct {
	opts Options

	mu     sync.Mutex
	claims map[string]*Claim
	// running is the number of claims without a result.
	running   int
	closed    bool
	nextSweep time.Time
	// clock is the latest time seen. It never goes back, even if the wall clock
	// does: a claim that was dropped as expired must not become usable again.
	clock time.Time
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{opts: o, claims: map[string]*Claim{}}
}

// Begin claims a key for the call with the given fingerprint and returns
// VerdictRun, or another verdict that tells why it does not. The claim is nil if
// the table does not hold the key.
func (t *Table) Begin(key string, issued time.Time, fingerprint uint64, now time.Time) (Verdict, *Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advanceClock(now)
	t.expire(now)
	if c, ok := t.claims[key]; ok {
		return c.verdict(fingerprint), c
	}
	expires := issued.Add(t.opts.KeyTTL)
	if !now.Before(expires) {
		return VerdictExpired, nil
	}
	if t.closed {
		return VerdictClosed, nil
	}
	if len(t.claims) >= t.opts.Capacity {
		return VerdictFull, nil
	}
	c := &Claim{fingerprint: fingerprint, expires: expires, done: make(chan struct{})}
	t.claims[key] = c
	t.running++
	return VerdictRun, c
}

func (t *Table) advanceClock(now time.Time) time.Time {
	if now.After(t.clock) {
		t.clock = now
	}
	return t.clock
}

func (c *Claim) verdict(fingerprint uint64) Verdict {
	if c.fingerprint != fingerprint {
		return VerdictReused
	}
	select {
	case <-c.done:
		return VerdictReplay
	default:
		return VerdictWait
	}
}

// sweepInterval is the time between two searches for expired claims.
const sweepInterval = time.Second

// expire drops claims whose keys have expired. A claim whose call still runs is
// kept.
func (t *Table) expire(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for key, c := range t.claims {
		if now.Before(c.expires) {
			continue
		}
		select {
		case <-c.done:
			delete(t.claims, key)
		default:
		}
	}
}

// Finish sets the result of a call for which Begin returned VerdictRun. The result
// is final even for a call that did not run: an older copy of the call may still
// arrive, and must not run after its caller was told that it did not.
func (t *Table) Finish(c *Claim, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(r.Answer.Body) > t.opts.MaxAnswerBytes {
		r = Result{Err: &outcome.Error{
			Op: "replay", Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer,
			Message: "the call ran; its answer was too large to keep",
		}}
	}
	c.result = r
	t.running--
	close(c.done)
}

// Close makes the table refuse new keys.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// Running returns the number of claims whose calls have not ended.
func (t *Table) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// Len returns the number of claims.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}
