package hosted_test

import (
	"fmt"
	"slices"
	"testing"
)

// An engine has started an order of the host that held the lease before, and rejects that of
// the new holder, which does not know it. The new holder must not count on the layers that it
// wanted there: all layers are held in the end, whichever engine it is.
func TestEngineWithAnotherHostsOrderIsNotCountedOn(t *testing.T) {
	t.Parallel()
	for foreign := range 3 {
		t.Run(fmt.Sprint("engine ", foreign), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			f.engines = nil
			for i := range 3 {
				e := newReplica(t, f.store, fmt.Sprint("half", i), "model", "half")
				if i == foreign {
					e.orders = []string{`{"from":0,"target":1}`}
				}
				f.engines = append(f.engines, e)
			}
			for _, id := range []string{"e0", "e1"} {
				f.store.put("keyed.servers", id, nil)
			}
			f.hosts = append(f.hosts, f.start(t, 0))
			await(t, "orders that cover all layers", func() bool { return coveredBy(f.engines) })
		})
	}
}

// coveredBy reports whether the last orders to engines cover the 8 layers of the test's model.
func coveredBy(engines []*replicaStandIn) bool {
	var held [8]bool
	for _, e := range engines {
		orders := e.receivedOrders()
		if len(orders) == 0 {
			return false
		}
		last := orderedLayers(orders[len(orders)-1])
		for l := last[0]; l < last[1]; l++ {
			held[l] = true
		}
	}
	return !slices.Contains(held[:], false)
}
