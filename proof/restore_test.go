package proof_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/publication"
	"bulrushshed/settings"
)

// restoreLog restores the platform's log from a backup of the given age.
func (c *cluster) restoreLog(age time.Duration) {
	c.noError(c.post(fmt.Sprintf("%s/restore?age_ms=%d", c.platformURL(), age.Milliseconds()), nil))
}

// awaitEra waits until hosts have agreed on the rules from which an era of the log begins.
func (c *cluster) awaitEra(era int64) {
	c.eventually(fmt.Sprintf("the log has the base of era %d", era), func() bool {
		rules, _, err := publication.History(c.logClient())
		if err != nil {
			return false
		}
		base, ok := rules.BaseEra()
		return ok && base == era
	})
}

// An accepted version that a restored log has lost stays in force, also on a host that
// starts in the gap. Publications go on from it, after a second restore, too.
func TestRulesSurviveRestoreOfTheLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 1, twoPipelines[:2])
	stop := c.watchVersions()
	active := c.publish(c.version, rulesWithLimit(1))
	c.eventually("the first version is active", c.allAtVersion(active))
	for era := int64(2); era <= 3; era++ {
		time.Sleep(2 * time.Second)
		before := time.Now()
		active = c.publish(active, rulesWithLimit(10*int(era)))
		c.eventually("the version that will be lost is active", c.allAtVersion(active))
		time.Sleep(5 * time.Second) // the log loses more records than are written at once
		c.restoreLog(time.Since(before))
		c.kill("entry-2")
		c.startEntry(2, func(s *settings.Settings) { s.SeedPeers = []string{c.peer(1), c.peer(3)} })
		c.eventually("the host that started in the gap has activated the lost version", c.allAtVersion(active))
		c.awaitEra(era)
		next := c.publish(active, rulesWithLimit(10*int(era)+1))
		is.True(next > active)
		active = next
		c.eventually("a version of the new era is active", c.allAtVersion(active))
	}
	is.Equal(stop(), nil)
}
