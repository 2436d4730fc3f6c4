package hosted_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"bulrushshed/serving"
	"bulrushshed/settings"
)

// With the requests of a domain spread over all of its hosts, each has too few to tell how
// much the engines can take. A host that stops is replaced by one that was not named.
func TestCallersOfLargeDomainGetSomeHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 0)
	// The hosts of a test share the processor time of one process, and are not loaded by it.
	f.adjust = func(_ int, cfg *settings.Host) { cfg.ProcessorShare = 1000 }
	for i := range serving.BaseSize + 2 {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	h := f.hosts[0]
	await(t, "directory response with the base size", func() bool { return len(h.addresses(t)) == serving.BaseSize })
	named := h.addresses(t)
	is.Equal(len(lo.Intersect(named, f.callerAddresses())), serving.BaseSize)
	for _, other := range f.hosts[1:] {
		await(t, fmt.Sprintf("the same addresses from %s", other.cfg.Name), func() bool {
			return lo.ElementsMatch(other.addresses(t), named)
		})
	}
	_, stopped, _ := lo.FindIndexOf(f.hosts, func(e *entryHost) bool { return e != h && lo.Contains(named, e.cfg.CallerAddress) })
	f.hosts[stopped].stop()
	await(t, "directory response with another host in its place", func() bool {
		now := h.addresses(t)
		return len(now) == serving.BaseSize && !lo.Contains(now, f.hosts[stopped].cfg.CallerAddress)
	})
}
