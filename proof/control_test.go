package proof_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/directory"
	"bulrushshed/engine"
	"bulrushshed/operator"
	"bulrushshed/standin"
)

// placed is the rule file of a cluster whose engines the system places.
func placed(version string) string {
	return strings.Replace(rules, "version=v1", "placement=auto version="+version, 1)
}

// halves are three engines that can hold half of the layers each, and one that
// holds nothing yet.
var halves = []engineSpec{
	{"fast-1", "a", "0-40", 100 * time.Microsecond},
	{"fast-2", "b", "40-80", 100 * time.Microsecond},
	{"slow-1", "c", "0-40", 150 * time.Microsecond},
	{"slow-2", "a", "40-80", 150 * time.Microsecond},
}

// holdsAll reports whether engines in service hold all layers of a version.
func holdsAll(s operator.Status, version string) bool {
	covered := map[int]bool{}
	for _, h := range s.Hosts {
		if h.Leaving || h.Suspected || !h.Reporting || h.Changing || h.Holding.Version != version {
			continue
		}
		for l := h.Holding.Layers.From; l < h.Holding.Layers.To; l++ {
			covered[l] = true
		}
	}
	return len(covered) == layers
}

func (c *cluster) holder() string {
	for n := 1; n <= c.entries; n++ {
		if s, err := c.status(n); err == nil && s.Rules.Holds {
			return c.entryName(n)
		}
	}
	return ""
}

// orders returns the orders that an engine carried out, oldest first.
func (c *cluster) orders(n int) []standin.ExecutedOrder {
	var all []standin.ExecutedOrder
	c.must(c.get("http://"+c.engine(n)+"/v1/orders", &all))
	return all
}

// inOrder checks that no engine carried out an order of an earlier holder of
// the lease behind one of a later.
func (c *cluster) inOrder(is *is.I) (total int) {
	for n := range c.engines {
		last := int64(0)
		for _, o := range c.orders(n) {
			is.True(o.Fence >= last)
			last = o.Fence
			total++
		}
	}
	return total
}

func TestLostLayersAreTakenOver(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, halves[:3], "-max-layers", "40")
	c.version = c.publish(c.version, placed("v1"))
	c.kill("fast-2")
	c.eventually("an engine carries out an order", func() bool { return c.ordersOf(0)+c.ordersOf(2) > 0 })
	c.eventually("all entry hosts see all layers", func() bool {
		for n := 1; n <= c.entries; n++ {
			if s, err := c.status(n); err != nil || !holdsAll(s, "v1") {
				return false
			}
		}
		return true
	})
	r := c.play(c.streamLoad(20, 2*time.Second), nil)
	soundStreams(t, r)
}

func (c *cluster) ordersOf(n int) int { return len(c.orders(n)) }

// A version is rolled out under load: every answer is whole and of one version.
func TestARolloutUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 1, halves)
	o := c.streamLoad(30, 25*time.Second)
	o.Versions = []string{"v1", "v2"}
	r := c.play(o, script{
		{1 * time.Second, func() { c.version = c.publish(c.version, placed("v2")) }},
	})
	soundStreams(t, r)
	c.eventually("all engines hold the new version", func() bool {
		s, err := c.status(1)
		if err != nil {
			return false
		}
		for _, h := range s.Hosts {
			if h.Role == "engine" && h.Holding.Version != "v2" {
				return false
			}
		}
		return holdsAll(s, "v2")
	})
	is.True(c.inOrder(is) >= len(halves))
}

// An engine that fails requests for a moment is not given up: its layers stay
// where they are.
func TestAMomentaryFailureMovesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2, 1, halves[:3], "-max-layers", "40")
	c.version = c.publish(c.version, placed("v1"))
	cut := func(delay int) func() {
		return func() { c.fault("http://"+c.engine(0), standin.Fault{Links: map[string]int{"fast-2": delay}}) }
	}
	// A new holder of the lease gives no orders for some seconds.
	r := c.play(c.streamLoad(30, 14*time.Second), script{
		{8 * time.Second, func() { c.freeze("fast-2") }},
		{9200 * time.Millisecond, func() { c.thaw("fast-2") }},
		{12 * time.Second, cut(-1)},
		{13 * time.Second, cut(0)},
	})
	soundStreams(t, r)
	is.Equal(c.inOrder(is), 0) // no order was given
}

// Engines stand by while a rule says so, and an adapter is rolled out as a
// version is.
func TestRolesAndAdapters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2, 1, halves)
	standby := placed("v1") + "endpoint name=slow-* role=standby # platform team: spare parts\n"
	c.version = c.publish(c.version, standby)
	role := func(name string, want engine.Role) func() bool {
		return func() bool {
			for n := 1; n <= c.entries; n++ {
				s, err := c.status(n)
				if err != nil || !slices.ContainsFunc(s.Hosts, func(h directory.HostStatus) bool {
					return h.Name == name && h.EngineRole == want && !h.Changing
				}) {
					return false
				}
			}
			return true
		}
	}
	c.eventually("slow-1 stands by", role("slow-1", engine.RoleStandby))
	c.eventually("slow-2 stands by", role("slow-2", engine.RoleStandby))
	soundStreams(t, c.play(c.streamLoad(20, 2*time.Second), nil))
	var w standin.ActiveWork
	c.must(c.get("http://"+c.engine(2)+"/v1/streams", &w))
	is.Equal(w, standin.ActiveWork{}) // no stream went to slow-1
	c.version = c.publish(c.version, strings.Replace(placed("v1"), "version=v1", "version=v1 adapter=rota", 1))
	c.eventually("slow-1 serves again", role("slow-1", engine.RoleServe))
	o := c.streamLoad(20, 20*time.Second)
	o.Versions = []string{"v1", "v1+rota"}
	soundStreams(t, c.play(o, nil))
	c.eventually("the adapter is rolled out", func() bool {
		s, err := c.status(1)
		return err == nil && holdsAll(s, "v1+rota")
	})
	c.inOrder(is)
}

// The holder of the lease is frozen again and again while versions change. No
// engine carries out an order of the frozen holder once a new one has spoken,
// whether it checks fencing numbers or not.
func TestAHolderThatFreezes(t *testing.T) {
	t.Parallel()
	for _, fences := range []string{"true", "false"} {
		t.Run("fences "+fences, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 3, 1, halves, "-fences="+fences)
			for _, version := range []string{"v2", "v3"} {
				c.eventually("somebody holds the lease", func() bool { return c.holder() != "" })
				c.version = c.publish(c.version, placed(version))
				old := c.holder()
				time.Sleep(500 * time.Millisecond)
				if old == "" {
					continue
				}
				c.freeze(old)
				c.eventually("another host holds the lease", func() bool {
					now := c.holder()
					return now != "" && now != old
				})
				c.thaw(old)
				c.eventually("the version is rolled out", func() bool {
					s, err := c.status(1)
					return err == nil && holdsAll(s, version)
				})
			}
			is.True(c.inOrder(is) > 0)
		})
	}
}
