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
	// stalledResultTTL is how long the outcome of a check is used for an engine that
	// no stream hears of, and talkingLife for one that others get through.
	stalledResultTTL = 600 * time.Millisecond
	activeResultTTL  = 2 * time.Second
	// highUtilization is the share of a KV cache in use from which on a check is
	// worth a line in the log.
	highUtilization = 0.9
	// minDownEngines is the number of engines that seem gone at once from which on
	// the fault may be this host's own, and goneToAnswered how many more of
	// them than of those that answer there are in that case.
	minDownEngines = 4
	downToUpRatio  = 4
)

// checker asks engines whether they are there, and how they are, for all
// streams of this host together. It is safe for concurrent use.
type checker struct {
	mu      sync.Mutex
	results map[string]checkResult
}

// checkResult is the outcome of a check; pending while there is none yet.
type checkResult struct {
	pending bool
	down    bool
	at      time.Time
}

func newChecker() *checker { return &checker{results: map[string]checkResult{}} }

// check returns those of some engines that are known to be gone, and starts to
// ask those that were not asked for a time.
func (c *checker) check(f *Forwarder, addresses []string, ttl time.Duration, requestID string, now time.Time) (down []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	for _, address := range addresses {
		result, ok := c.results[address]
		if ok && (result.pending || now.Sub(result.at) <= ttl) {
			if result.down {
				down = append(down, address)
			}
			continue
		}
		r, listed := f.Replicas.View().ByAddress(address)
		if !listed {
			down = append(down, address)
			continue
		}
		c.results[address] = checkResult{pending: true, at: now}
		go c.probe(f, r, requestID)
	}
	if c.hostIsolated(now) {
		return nil
	}
	return down
}

func (c *checker) expire(now time.Time) {
	for address, result := range c.results {
		if !result.pending && now.Sub(result.at) > activeResultTTL {
			delete(c.results, address)
		}
	}
}

// hostIsolated reports whether hardly any engine that was checked lately has answered:
// then this host is cut off, and not the engines.
func (c *checker) hostIsolated(now time.Time) bool {
	down, up := 0, 0
	for _, result := range c.results {
		switch {
		case result.pending || now.Sub(result.at) > stalledResultTTL:
		case result.down:
			down++
		default:
			up++
		}
	}
	return down >= minDownEngines && down > downToUpRatio*up
}

// probe asks one engine; it ends within checkTimeout.
func (c *checker) probe(f *Forwarder, r replica.Replica, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	report, err := f.Upstream.Report(ctx, r)
	now := time.Now()
	c.mu.Lock()
	c.results[r.Address] = checkResult{down: err != nil, at: now}
	c.mu.Unlock()
	if err != nil {
		f.Log.Warn("forward: engine gone", "request", requestID, "address", r.Address, "cause", err.Error())
		f.Planner.Suspect(r.Address, now.Add(failedExclusion))
		return
	}
	utilization := report.CellsUsed / max(report.CellsTotal, 1)
	level := slog.LevelDebug
	if report.Slowness > 1 || utilization > highUtilization {
		level = slog.LevelInfo
	}
	f.Log.Log(ctx, level, "forward: engine checked", "request", requestID, "address", r.Address, "slowness", report.Slowness, "full", utilization)
	f.Planner.RecordReport(r.Address, report.Slowness, utilization, now)
}
