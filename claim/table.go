package claim

import (
	"sync"
	"time"

	"bulrushshed/outcome"
)

// Result is what became of the call that a key stands for.
type Result struct {
	Answer outcome.Answer
	// Err is nil if there is an answer.
	Err *outcome.Error
}

// Verdict says what a home does with a call.
type Verdict string

// The verdicts of a table.
const (
	// VerdictRun means that the caller of Begin now owns the key: it runs
	// the call, once, and calls Finish.
	VerdictRun Verdict = "run"
	// VerdictWait means that the call is under way.
	VerdictWait Verdict = "wait"
	// VerdictReplay means that the result is at hand.
	VerdictReplay Verdict = "replay"
	// VerdictReused means that the key was first used for another call.
	VerdictReused Verdict = "reused"
	// VerdictFull means that the table has no room for a new key.
	VerdictFull Verdict = "full"
	// VerdictClosed means that the home takes no new key any more.
	VerdictClosed Verdict = "closed"
	// VerdictExpired means that the key is too old for its claim to be
	// still at hand.
	VerdictExpired Verdict = "expired"
)

// Options bound a table.
type Options struct {
	// Life is how long after its issue a key may be used.
	Life time.Duration
	// Capacity is the number of keys in the table at a time.
	Capacity int
	// MaxAnswer is the size in bytes up to which an answer is kept.
	MaxAnswer int
}

// Claimed is a key in the table.
type Claimed struct {
	// fingerprint tells calls apart that use one key.
	fingerprint uint64
	// expires is when the key can no longer be used.
	expires time.Time
	// done is closed once result is set; result is frozen from then on.
	done   chan struct{}
	result Result
}

// Done is closed once the call has ended.
func (c *Claimed) Done() <-chan struct{} { return c.done }

// Result returns what became of the call; call it only once Done is closed.
func (c *Claimed) Result() Result { return c.result }

// Table holds the claims of one home. It is safe for concurrent use; its lock
// is taken last and held for no call.
type Table struct {
	opts Options

	mu     sync.Mutex
	claims map[string]*Claimed
	// running is the number of claims without a result.
	running int
	closed  bool
	sweep   time.Time
	// latest never goes back, even if the wall clock does: a claim that was
	// dropped as expired must not become usable again.
	latest time.Time
}

// NewTable returns a table without claims.
func NewTable(o Options) *Table {
	return &Table{opts: o, claims: map[string]*Claimed{}}
}

// Begin claims a key for the call with a fingerprint, or says what became of
// its first use.
func (t *Table) Begin(key string, issued time.Time, fingerprint uint64, now time.Time) (Verdict, *Claimed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	t.expire(now)
	if c, ok := t.claims[key]; ok {
		return c.verdict(fingerprint), c
	}
	expires := issued.Add(t.opts.Life)
	if !now.Before(expires) {
		return VerdictExpired, nil
	}
	if t.closed {
		return VerdictClosed, nil
	}
	if len(t.claims) >= t.opts.Capacity {
		return VerdictFull, nil
	}
	c := &Claimed{fingerprint: fingerprint, expires: expires, done: make(chan struct{})}
	t.claims[key] = c
	t.running++
	return VerdictRun, c
}

func (t *Table) advance(now time.Time) time.Time {
	if now.After(t.latest) {
		t.latest = now
	}
	return t.latest
}

func (c *Claimed) verdict(fingerprint uint64) Verdict {
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

// sweepEvery is the time between looks for expired claims.
const sweepEvery = time.Second

// expire drops claims whose keys can no longer be used. A claim that still
// runs stays.
func (t *Table) expire(now time.Time) {
	if now.Before(t.sweep) {
		return
	}
	t.sweep = now.Add(sweepEvery)
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

// Finish sets the result of a call that Begin let run. It is final even for a
// call that did not run: an older copy of it may still be under way, and must
// not run once its caller was told that it did not.
func (t *Table) Finish(c *Claimed, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(r.Answer.Body) > t.opts.MaxAnswer {
		r = Result{Err: &outcome.Error{
			Op: "replay", Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer,
			Message: "the call ran; its answer was too large to keep",
		}}
	}
	c.result = r
	t.running--
	close(c.done)
}

// Close takes no new key from now on.
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
