package hosted_test

import (
	"slices"
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
	var named []string
	await(t, "the same addresses of the base size from all hosts", func() bool {
		all := lo.Map(f.hosts, func(e *entryHost, _ int) []string { return e.addresses(t) })
		named = all[0]
		return len(named) == serving.BaseSize && lo.EveryBy(all, func(other []string) bool { return slices.Equal(other, named) })
	})
	is.Equal(len(lo.Intersect(named, f.callerAddresses())), serving.BaseSize)
	_, stopped, _ := lo.FindIndexOf(f.hosts, func(e *entryHost) bool { return e != h && lo.Contains(named, e.cfg.CallerAddress) })
	f.hosts[stopped].stop()
	await(t, "directory response with another host in its place", func() bool {
		now := h.addresses(t)
		return len(now) == serving.BaseSize && !lo.Contains(now, f.hosts[stopped].cfg.CallerAddress)
	})
}
