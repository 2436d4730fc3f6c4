package proof_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/publication"
	"bulrushshed/rule"
	"bulrushshed/settings"
	"bulrushshed/standin"
)

// rulesWithLimit returns the rules with an additional rate limit for customer cn.
func rulesWithLimit(n int) string {
	return baseRules + fmt.Sprintf("limit customer=c%d rate=1000 burst=1000 # test: version %d\n", n, n)
}

// watchVersions polls the active version on every entry host until stop is
// called. stop returns a description of each decrease.
func (c *cluster) watchVersions() (stop func() []string) {
	end := make(chan struct{})
	done := make(chan []string, 1)
	go func() {
		var decreases []string
		seen := make([]rule.Version, c.entries+1)
		for {
			for n := 1; n <= c.entries; n++ {
				s, err := c.status(n)
				if err != nil {
					continue
				}
				if s.Rules.Version > 0 && s.Rules.Version < seen[n] {
					decreases = append(decreases, fmt.Sprintf("entry-%d went from %d to %d", n, seen[n], s.Rules.Version))
				}
				seen[n] = max(seen[n], s.Rules.Version)
			}
			select {
			case <-end:
				done <- decreases
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() []string {
		close(end)
		return <-done
	}
}

// allAtVersion returns a condition that holds when v is the active version on
// all entry hosts.
func (c *cluster) allAtVersion(v rule.Version) func() bool {
	return func() bool {
		for n := 1; n <= c.entries; n++ {
			s, err := c.status(n)
			if err != nil || s.Rules.Version != v {
				return false
			}
		}
		return true
	}
}

// Of concurrent publications with the same base version, exactly one must be
// accepted and the others must fail with a conflict. Every host must then
// activate the accepted one.
func TestConcurrentPublications(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 1, twoPipelines[:2])
	stop := c.watchVersions()
	base := c.version
	for round := range 8 {
		var mu sync.Mutex
		var accepted []rule.Version
		var wg sync.WaitGroup
		if round%2 == 1 {
			c.injectFault(c.platformURL(), standin.Fault{LoseAnswers: 2})
		}
		for n := range 4 {
			wg.Go(func() {
				p := rule.Publication{ID: publication.NewID(), Base: base, Author: "test", Text: rulesWithLimit(10*round + n)}
				v, err := publication.Publish(c.logClient(), p, 100*time.Millisecond, 50)
				var e *publication.Error
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted = append(accepted, v)
				} else if !errors.As(err, &e) || e.Kind != publication.KindConflict {
					t.Errorf("got %v, want a conflict", err)
				}
			})
		}
		wg.Wait()
		is.Equal(len(accepted), 1)
		base = accepted[0]
		c.eventually(fmt.Sprintf("version %d is active on all entry hosts", base), c.allAtVersion(base))
	}
	is.Equal(stop(), nil)
}

// An accepted version must become active on every host and must never be
// reverted, even if hosts hang or are replaced or the platform is down.
func TestRulesNeverRevert(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 1, twoPipelines[:2])
	stop := c.watchVersions()
	c.suspend("entry-1")
	second := c.publish(c.version, rulesWithLimit(2))
	c.injectFault(c.platformURL(), standin.Fault{OutageMS: 4000})
	c.resume("entry-1")
	// During the log outage, the host can learn of the version only from other
	// hosts.
	c.eventually("the resumed host has activated the second version", c.allAtVersion(second))
	c.kill("entry-2")
	c.startEntry(2, func(s *settings.Settings) { s.SeedPeers = []string{c.peer(1), c.peer(3)} })
	c.eventually("the restarted host has activated the second version", c.allAtVersion(second))
	third := c.publish(second, rulesWithLimit(3))
	c.eventually("the third version is active", c.allAtVersion(third))
	is.Equal(stop(), nil)
}

// The log retains records only for a limited time. The active rules and the
// order of versions must survive the deletion of the publication from the log,
// also on a host that starts afterwards.
func TestRulesSurviveLogRetention(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 0, 1, twoPipelines[:2])
	c.kill("platform")
	c.start("platform", "standin", "platform", "-address", c.ip(rolePlatform, 1)+":9000", "-host-lag", "500ms", "-retain", "4s")
	c.entries = 3
	for n := 1; n <= c.entries; n++ {
		c.startEntry(n, func(s *settings.Settings) { s.Times.CheckpointEvery = settings.Duration(time.Second) })
	}
	first := c.publish(0, rulesWithLimit(1))
	c.eventually("the first version is active", c.allAtVersion(first))
	stop := c.watchVersions()
	c.eventually("the log has deleted the publication", func() bool {
		page, err := c.logClient().Read(1, 1, 0)
		return err == nil && page.First > int64(first)+3
	})
	c.kill("entry-2")
	c.startEntry(2)
	c.eventually("the restarted host has activated the first version", c.allAtVersion(first))
	// A publication based on a version that was never active must be rejected.
	p := rule.Publication{ID: publication.NewID(), Base: 0, Author: "test", Text: rulesWithLimit(9)}
	_, err := publication.Publish(c.logClient(), p, 100*time.Millisecond, 50)
	var e *publication.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, publication.KindConflict)
	second := c.publish(first, rulesWithLimit(2))
	c.eventually("the second version is active", c.allAtVersion(second))
	is.Equal(stop(), nil)
}
