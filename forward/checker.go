package forward

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bulrushshed/ratelimit"
	"bulrushshed/replica"
	"bulrushshed/usage"
)

const (
	// checkTimeout is the time within which an engine must answer a check, or
	// else it counts as down.
	checkTimeout = 70 * time.Millisecond
	// stalledResultTTL is how long the result of a check is used for an engine
	// through which no stream receives events, and activeResultTTL how long for
	// one through which other streams do.
	stalledResultTTL = 600 * time.Millisecond
	activeResultTTL  = 2 * time.Second
	// highUtilization is the KV cache utilization above which a check is logged
	// at level info.
	highUtilization = 0.9
	// downFindingDelay is how long after a failed check other hosts are told. The engines of
	// a path are checked at the same time, and only their results together show whether
	// this host is isolated.
	downFindingDelay = 20 * time.Millisecond
	// minDownEngines is the number of engines down at once from which on this
	// host itself may be isolated. It counts as isolated if the engines down
	// exceed downToUpRatio times those that answer.
	minDownEngines = 4
	downToUpRatio  = 4
)

// checker checks the health of engines on behalf of all streams of this host. It is
// safe for concurrent use.
type checker struct {
	mu      sync.Mutex
	results map[string]checkResult
}

// checkResult is the result of a check; pending while there is none yet.
type checkResult struct {
	pending bool
	down    bool
	at      time.Time
}

func newChecker() *checker { return &checker{results: map[string]checkResult{}} }

// check returns those of the given engines that are known to be down. It starts a
// check of each engine whose last result is older than ttl.
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

// hostIsolated reports whether hardly any engine that was checked recently has
// answered. In that case this host has lost its connections, not the engines.
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

// confirmDown checks an engine whose answer broke off, unless it is known to be down
// already, and reports whether it is down.
func (c *checker) confirmDown(f *Forwarder, r replica.Replica, requestID string) bool {
	if !c.knownDown(r.Address, time.Now()) {
		c.probe(f, r, requestID)
	}
	return c.knownDown(r.Address, time.Now())
}

// knownDown reports whether a recent check has found an engine down.
func (c *checker) knownDown(address string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	result, ok := c.results[address]
	return ok && result.down && now.Sub(result.at) <= stalledResultTTL && !c.hostIsolated(now)
}

// findDown tells the other hosts that an engine is down, unless it has answered since or
// this host is isolated.
func (c *checker) findDown(f *Forwarder, r replica.Replica) {
	if now := time.Now(); c.knownDown(r.Address, now) {
		f.find(usage.NewEngineID(r.Address, r.Incarnation()), usage.Down, time.Time{}, now)
	}
}

// probe checks one engine; it returns within checkTimeout once the request is permitted. An
// engine that takes no more requests is only checked for whether it can be reached.
func (c *checker) probe(f *Forwarder, r replica.Replica, requestID string) {
	permitted := f.Limiter.Acquire(context.Background(), r.Incarnation(), ratelimit.Need{}).Granted
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var report Report
	var err error
	if permitted {
		report, err = f.Upstream.Report(ctx, r)
	} else {
		err = f.Upstream.Reach(ctx, r)
	}
	now := time.Now()
	c.mu.Lock()
	c.results[r.Address] = checkResult{down: err != nil, at: now}
	c.mu.Unlock()
	if err != nil {
		time.AfterFunc(downFindingDelay, func() { c.findDown(f, r) })
		f.Log.Warn("forward: engine failed check, excluded from new paths", "request", requestID, "address", r.Address, "cause", err.Error())
		f.Planner.Suspect(r.Address, now.Add(failedExclusion))
		return
	}
	f.find(usage.NewEngineID(r.Address, r.Incarnation()), usage.Back, time.Time{}, now)
	if !permitted {
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
