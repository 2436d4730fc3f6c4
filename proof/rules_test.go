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

// withLimit is the rule file of a cluster with one more rule.
func withLimit(n int) string {
	return rules + fmt.Sprintf("limit customer=c%d rate=1000 burst=1000 # test: version %d\n", n, n)
}

// watch looks at the version in force on every host until stop is called, and
// returns what went back.
func (c *cluster) watch() (stop func() []string) {
	end := make(chan struct{})
	done := make(chan []string, 1)
	go func() {
		var wrong []string
		seen := make([]rule.Version, c.entries+1)
		for {
			for n := 1; n <= c.entries; n++ {
				s, err := c.status(n)
				if err != nil {
					continue
				}
				if s.Rules.Version > 0 && s.Rules.Version < seen[n] {
					wrong = append(wrong, fmt.Sprintf("entry-%d went from %d to %d", n, seen[n], s.Rules.Version))
				}
				seen[n] = max(seen[n], s.Rules.Version)
			}
			select {
			case <-end:
				done <- wrong
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

func (c *cluster) allAt(v rule.Version) func() bool {
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

// Of operators who publish at the same moment one wins each round, and the
// others are told; every host ends at the winner's file.
func TestOperatorsWhoPublishAtTheSameMoment(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 1, twoPipelines[:2])
	stop := c.watch()
	base := c.version
	for round := range 8 {
		var mu sync.Mutex
		var accepted []rule.Version
		var publishers sync.WaitGroup
		if round%2 == 1 {
			c.fault(c.platform(), standin.Fault{LoseAnswers: 2})
		}
		for n := range 4 {
			publishers.Go(func() {
				p := rule.Publication{ID: publication.NewID(), Base: base, Author: "test", Text: withLimit(10*round + n)}
				v, err := publication.Publish(c.log(), p, 100*time.Millisecond, 50)
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
		publishers.Wait()
		is.Equal(len(accepted), 1)
		base = accepted[0]
		c.eventually(fmt.Sprintf("version %d is in force everywhere", base), c.allAt(base))
	}
	is.Equal(stop(), nil)
}

// A version that was accepted comes in force everywhere and stays, through
// frozen hosts, a platform that is down, and hosts that are replaced.
func TestRulesNeverRevert(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 1, twoPipelines[:2])
	stop := c.watch()
	c.freeze("entry-1")
	second := c.publish(c.version, withLimit(2))
	c.fault(c.platform(), standin.Fault{OutageMS: 4000})
	c.thaw("entry-1")
	// The log is down, so only the other hosts can tell it of the version.
	c.eventually("the frozen host has caught up", c.allAt(second))
	c.kill("entry-2")
	c.startEntry(2, func(s *settings.Settings) { s.SeedPeers = []string{c.peer(1), c.peer(3)} })
	c.eventually("the fresh host has the rules", c.allAt(second))
	third := c.publish(second, withLimit(3))
	c.eventually("the next version is in force", c.allAt(third))
	is.Equal(stop(), nil)
}

// The log keeps records for a short while only. What is in force must outlive
// them, also on a host that starts afterwards, and so must the order of
// versions.
func TestRulesOutliveTheLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 0, 1, twoPipelines[:2])
	c.kill("platform")
	c.start("platform", "standin", "platform", "-address", c.ip(rolePlatform, 1)+":9000", "-host-lag", "500ms", "-retain", "4s")
	c.entries = 3
	for n := 1; n <= c.entries; n++ {
		c.startEntry(n, func(s *settings.Settings) { s.Times.CheckpointEvery = settings.Duration(time.Second) })
	}
	first := c.publish(0, withLimit(1))
	c.eventually("the first version is in force", c.allAt(first))
	stop := c.watch()
	c.eventually("the publication has left the log", func() bool {
		page, err := c.log().Read(1, 1, 0)
		return err == nil && page.First > int64(first)+3
	})
	c.kill("entry-2")
	c.startEntry(2)
	c.eventually("a fresh host has the rules", c.allAt(first))
	// A publication over a version that was never in force must not win.
	p := rule.Publication{ID: publication.NewID(), Base: 0, Author: "test", Text: withLimit(9)}
	_, err := publication.Publish(c.log(), p, 100*time.Millisecond, 50)
	var e *publication.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, publication.KindConflict)
	second := c.publish(first, withLimit(2))
	c.eventually("the next version is in force", c.allAt(second))
	is.Equal(stop(), nil)
}
