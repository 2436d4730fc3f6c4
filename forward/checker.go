package forward

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bulrushshed/replica"
)

const (
	// checkTimeout is how long an engine may take to answer before it counts
	// as gone.
	checkTimeout = 70 * time.Millisecond
	// silentLife is how long the outcome of a check is used for an engine that
	// no stream hears of, and talkingLife for one that others get through.
	silentLife  = 600 * time.Millisecond
	talkingLife = 2 * time.Second
	// notableFull is the share of a KV cache in use from which on a check is
	// worth a line in the log.
	notableFull = 0.9
	// manyGone is the number of engines that seem gone at once from which on
	// the fault may be this host's own, and goneToAnswered how many more of
	// them than of those that answer there are in that case.
	manyGone       = 4
	goneToAnswered = 4
)

// checker asks engines whether they are there, and how they are, for all
// streams of this host together. It is safe for concurrent use.
type checker struct {
	mu    sync.Mutex
	known map[string]checked
}

// checked is the outcome of a check; pending while there is none yet.
type checked struct {
	pending bool
	gone    bool
	at      time.Time
}

func newChecker() *checker { return &checker{known: map[string]checked{}} }

// check returns those of some engines that are known to be gone, and starts to
// ask those that were not asked for a time.
func (c *checker) check(f *Forwarder, addresses []string, life time.Duration, requestID string, now time.Time) (gone []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	for _, address := range addresses {
		k, ok := c.known[address]
		if ok && (k.pending || now.Sub(k.at) <= life) {
			if k.gone {
				gone = append(gone, address)
			}
			continue
		}
		r, listed := f.Replicas.View().ByAddress(address)
		if !listed {
			gone = append(gone, address)
			continue
		}
		c.known[address] = checked{pending: true, at: now}
		go c.ask(f, r, requestID)
	}
	if c.ownFault(now) {
		return nil
	}
	return gone
}

func (c *checker) forget(now time.Time) {
	for address, k := range c.known {
		if !k.pending && now.Sub(k.at) > talkingLife {
			delete(c.known, address)
		}
	}
}

// ownFault reports whether hardly any engine that was checked lately has answered:
// then this host is cut off, and not the engines.
func (c *checker) ownFault(now time.Time) bool {
	gone, answered := 0, 0
	for _, k := range c.known {
		switch {
		case k.pending || now.Sub(k.at) > silentLife:
		case k.gone:
			gone++
		default:
			answered++
		}
	}
	return gone >= manyGone && gone > goneToAnswered*answered
}

// ask asks one engine; it ends within checkTimeout.
func (c *checker) ask(f *Forwarder, r replica.Replica, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	report, err := f.Upstream.Report(ctx, r)
	now := time.Now()
	c.mu.Lock()
	c.known[r.Address] = checked{gone: err != nil, at: now}
	c.mu.Unlock()
	if err != nil {
		f.Log.Warn("forward: engine gone", "request", requestID, "address", r.Address, "cause", err.Error())
		f.Planner.Suspect(r.Address, now.Add(suspectTime))
		return
	}
	full := report.CellsUsed / max(report.CellsTotal, 1)
	level := slog.LevelDebug
	if report.Slowness > 1 || full > notableFull {
		level = slog.LevelInfo
	}
	f.Log.Log(ctx, level, "forward: engine checked", "request", requestID, "address", r.Address, "slowness", report.Slowness, "full", full)
	f.Planner.Reported(r.Address, report.Slowness, full, now)
}
