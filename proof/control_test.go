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

// autoPlacementRules returns a rule file with automatic placement of layers on
// engines.
func autoPlacementRules(version string) string {
	return strings.Replace(baseRules, "version=v1", "placement=auto version="+version, 1)
}

// halfModelEngines are four engines with half of the layers each, so that two of
// them hold each half.
var halfModelEngines = []engineSpec{
	{"fast-1", "a", "0-40", 100 * time.Microsecond},
	{"fast-2", "b", "40-80", 100 * time.Microsecond},
	{"slow-1", "c", "0-40", 150 * time.Microsecond},
	{"slow-2", "a", "40-80", 150 * time.Microsecond},
}

// holdsAllLayers reports whether the usable engines together hold all layers of a
// version.
func holdsAllLayers(s operator.Status, version string) bool {
	covered := map[int]bool{}
	for _, h := range s.Hosts {
		if h.Leaving || h.Suspected || !h.Reporting || h.Changing || h.Holding.Version != version {
			continue
		}
		for l := h.Holding.Layers.From; l < h.Holding.Layers.To; l++ {
			covered[l] = true
		}
	}
	return len(covered) == modelLayers
}

// leaseHolder returns the name of the entry host that holds the lease, or "".
func (c *cluster) leaseHolder() string {
	for n := 1; n <= c.entries; n++ {
		if s, err := c.status(n); err == nil && s.Rules.Holds {
			return c.entryName(n)
		}
	}
	return ""
}

// executedOrders returns the orders that an engine has executed, oldest first.
func (c *cluster) executedOrders(n int) []standin.ExecutedOrder {
	var all []standin.ExecutedOrder
	c.noError(c.get("http://"+c.engineAddress(n)+"/v1/orders", &all))
	return all
}

// checkFencing checks that no engine executed an order of an earlier lease holder
// after one of a later lease holder, and returns the number of executed orders.
func (c *cluster) checkFencing(is *is.I) (total int) {
	for n := range c.engines {
		last := int64(0)
		for _, o := range c.executedOrders(n) {
			is.True(o.Fence >= last)
			last = o.Fence
			total++
		}
	}
	return total
}

// When the only engine with some layers crashes, the lease holder must order
// other engines to load them.
func TestLostLayersAreReassigned(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, halfModelEngines[:3], "-max-layers", "40")
	c.version = c.publish(c.version, autoPlacementRules("v1"))
	c.kill("fast-2")
	c.eventually("an engine has executed an order", func() bool { return c.orderCount(0)+c.orderCount(2) > 0 })
	c.eventually("all layers are held, according to all entry hosts", func() bool {
		for n := 1; n <= c.entries; n++ {
			if s, err := c.status(n); err != nil || !holdsAllLayers(s, "v1") {
				return false
			}
		}
		return true
	})
	r := c.runLoad(c.streamLoad(20, 2*time.Second), nil)
	checkStreamInvariants(t, r)
}

func (c *cluster) orderCount(n int) int { return len(c.executedOrders(n)) }

// During a rollout under load, every response must be complete and come from a
// single model version.
func TestRolloutUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 1, halfModelEngines)
	o := c.streamLoad(30, 25*time.Second)
	o.Versions = []string{"v1", "v2"}
	r := c.runLoad(o, schedule{
		{1 * time.Second, func() { c.version = c.publish(c.version, autoPlacementRules("v2")) }},
	})
	checkStreamInvariants(t, r)
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
		return holdsAllLayers(s, "v2")
	})
	is.True(c.checkFencing(is) >= len(halfModelEngines))
}

// A transient failure of an engine must not move its layers to other engines.
func TestTransientFailureKeepsPlacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2, 1, halfModelEngines[:3], "-max-layers", "40")
	c.version = c.publish(c.version, autoPlacementRules("v1"))
	setLinkDelay := func(delay int) func() {
		return func() {
			c.injectFault("http://"+c.engineAddress(0), standin.Fault{Links: map[string]int{"fast-2": delay}})
		}
	}
	// The faults begin after 8 s, as a new lease holder issues no orders for
	// some seconds.
	r := c.runLoad(c.streamLoad(30, 14*time.Second), schedule{
		{8 * time.Second, func() { c.suspend("fast-2") }},
		{9200 * time.Millisecond, func() { c.resume("fast-2") }},
		{12 * time.Second, setLinkDelay(-1)},
		{13 * time.Second, setLinkDelay(0)},
	})
	checkStreamInvariants(t, r)
	is.Equal(c.checkFencing(is), 0) // no order was executed
}

// Engines with the standby role must receive no streams, and an adapter must be
// rolled out like a new version.
func TestStandbyRoleAndAdapterRollout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2, 1, halfModelEngines)
	standby := autoPlacementRules("v1") + "endpoint name=slow-* role=standby # platform team: spare capacity\n"
	c.version = c.publish(c.version, standby)
	hasRole := func(name string, want engine.Role) func() bool {
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
	c.eventually("slow-1 is on standby", hasRole("slow-1", engine.RoleStandby))
	c.eventually("slow-2 is on standby", hasRole("slow-2", engine.RoleStandby))
	checkStreamInvariants(t, c.runLoad(c.streamLoad(20, 2*time.Second), nil))
	var w standin.ActiveWork
	c.noError(c.get("http://"+c.engineAddress(2)+"/v1/streams", &w))
	is.Equal(w, standin.ActiveWork{}) // slow-1 received no stream
	c.version = c.publish(c.version, strings.Replace(autoPlacementRules("v1"), "version=v1", "version=v1 adapter=rota", 1))
	c.eventually("slow-1 serves again", hasRole("slow-1", engine.RoleServe))
	o := c.streamLoad(20, 20*time.Second)
	o.Versions = []string{"v1", "v1+rota"}
	checkStreamInvariants(t, c.runLoad(o, nil))
	c.eventually("the adapter is rolled out", func() bool {
		s, err := c.status(1)
		return err == nil && holdsAllLayers(s, "v1+rota")
	})
	c.checkFencing(is)
}

// The lease holder is suspended during rollouts, so that another host takes the
// lease over. When the old holder resumes, no engine may execute its orders after
// one of the new holder, whether or not the engine checks fencing tokens.
func TestSuspendedLeaseHolderIsFenced(t *testing.T) {
	t.Parallel()
	for _, fences := range []string{"true", "false"} {
		t.Run("engine checks fencing tokens: "+fences, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 3, 1, halfModelEngines, "-fences="+fences)
			for _, version := range []string{"v2", "v3"} {
				c.eventually("an entry host holds the lease", func() bool { return c.leaseHolder() != "" })
				c.version = c.publish(c.version, autoPlacementRules(version))
				old := c.leaseHolder()
				time.Sleep(500 * time.Millisecond)
				if old == "" {
					continue
				}
				c.suspend(old)
				c.eventually("another host holds the lease", func() bool {
					now := c.leaseHolder()
					return now != "" && now != old
				})
				c.resume(old)
				c.eventually("the version is rolled out", func() bool {
					s, err := c.status(1)
					return err == nil && holdsAllLayers(s, version)
				})
			}
			is.True(c.checkFencing(is) > 0)
		})
	}
}
