package serving_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"bulrushshed/serving"
)

func hosts(n int, loaded ...int) []serving.Host {
	return lo.Times(n, func(i int) serving.Host {
		return serving.Host{Address: fmt.Sprintf("10.0.0.%d:80", i), Capacity: 1, Loaded: slices.Contains(loaded, i)}
	})
}

func addresses(all []serving.Host) []string {
	return lo.Map(all, func(h serving.Host, _ int) string { return h.Address })
}

// Callers that are sent to small hosts while large ones are idle would be served slower.
func TestHostsWithTheHighestCapacityAreSelected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	all := hosts(20)
	for i := range all {
		all[i].Capacity = float64(i)
	}
	got := serving.Select(all, 3)
	is.Equal(addresses(got), []string{"10.0.0.19:80", "10.0.0.18:80", "10.0.0.17:80"})
	is.Equal(len(serving.Select(all, 50)), 20)
}

// A domain of few hosts keeps all of them, loaded or not.
func TestSmallDomainIsNotReduced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := serving.NewSubset()
	for n := range serving.BaseSize + 1 {
		is.Equal(len(s.Select("a", hosts(n), time.Unix(0, 0))), n)
	}
}

// Callers would lose their connections if a host that joins or leaves changed the whole
// selection.
func TestOneHostChangesAtMostOneAddress(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "hosts")
		all := hosts(n)
		for i := range all {
			all[i].Capacity = float64(rapid.IntRange(1, 3).Draw(t, "capacity"))
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		before := addresses(serving.Select(all, serving.BaseSize))
		after := addresses(serving.Select(slices.Delete(slices.Clone(all), gone, gone+1), serving.BaseSize))
		lost, added := lo.Difference(before, after)
		if len(lost) > 1 || len(added) > 1 {
			t.Fatalf("got %d addresses replaced by %d, want at most 1", len(lost), len(added))
		}
	})
}

// While the selected hosts are loaded, others must take part of the requests; once they
// are not, the size returns to the base size.
func TestSizeFollowsLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := serving.NewSubset()
	now := time.Unix(1000, 0)
	selected := addresses(s.Select("a", hosts(40), now))
	is.Equal(len(selected), serving.BaseSize)
	loadedHosts := func() []serving.Host {
		all := hosts(40)
		for i := range all {
			all[i].Loaded = slices.Contains(selected[:3], all[i].Address)
		}
		return all
	}
	now = now.Add(3 * time.Second)
	is.Equal(len(s.Select("a", loadedHosts(), now)), 2*serving.BaseSize)
	// The three are now less than a quarter of the selection.
	now = now.Add(3 * time.Second)
	is.Equal(len(s.Select("a", loadedHosts(), now)), 2*serving.BaseSize)
	is.Equal(len(s.Select("b", hosts(40), now)), serving.BaseSize) // another domain is not affected
	now = now.Add(11 * time.Second)
	is.Equal(len(s.Select("a", hosts(40), now)), serving.BaseSize)
}

// If all hosts are loaded, all of them are used.
func TestAllHostsAreSelectedUnderFullLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := serving.NewSubset()
	now := time.Unix(1000, 0)
	all := hosts(30)
	for i := range all {
		all[i].Loaded = true
	}
	for range 10 {
		now = now.Add(3 * time.Second)
		s.Select("a", all, now)
	}
	is.Equal(len(s.Select("a", all, now)), 30)
}

// The lowest share of hosts that carries a burst: with a quarter of the selected hosts
// lost, the others still have the requests of the domain divided among six.
func TestLostHostsAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := serving.NewSubset()
	now := time.Unix(1000, 0)
	all := hosts(30)
	lost := addresses(s.Select("a", all, now))[:2]
	rest := lo.Reject(all, func(h serving.Host, _ int) bool { return slices.Contains(lost, h.Address) })
	got := addresses(s.Select("a", rest, now))
	is.Equal(len(got), serving.BaseSize)
	is.Equal(len(lo.Intersect(got, lost)), 0)
}

func TestLoadMeter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := serving.NewLoadMeter(0.2)
	is.True(!m.Sample(5, now)) // what was consumed before the first sample does not count
	for _, c := range []struct {
		total float64
		want  bool
	}{{5.05, false}, {5.2, true}, {5.2, false}} {
		now = now.Add(time.Second)
		is.Equal(m.Sample(c.total, now), c.want)
	}
}
