package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/gossip"
)

var start = time.Unix(1000, 0)

func newFleet(n int) ([]*gossip.Table, []string) {
	var tables []*gossip.Table
	var names []string
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		names = append(names, name)
		tables = append(tables, gossip.NewTable(gossip.Options{Self: name, MaxBytes: 4096, RetransmitFactor: 2}))
	}
	return tables, names
}

// runRound lets each host send to its partners and compare digests with one of
// them. Messages are lost at lossRate. It returns the most items that one host
// sent.
func runRound(tables []*gossip.Table, names []string, roundNumber int, lossRate float64, r *rand.Rand) (most int) {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	now := start.Add(time.Duration(roundNumber) * time.Second)
	for i, t := range tables {
		sent := 0
		for n, name := range gossip.Partners(names[i], names, 3, now) {
			x := t.NextExchange(len(names), now)
			sent += len(x.Items)
			if r.Float64() < lossRate {
				continue
			}
			other := tables[index[name]]
			other.Merge(x.Items, now)
			if n == roundNumber%3 {
				t.Merge(other.Differing(*t.DigestExchange().Digest, now).Items, now)
				other.Merge(t.Differing(*other.DigestExchange().Digest, now).Items, now)
			}
		}
		most = max(most, sent)
	}
	return most
}

// An item must reach all hosts in a number of rounds logarithmic in their
// number, and each host sends it a bounded number of times. Hosts that are
// nobody's partner receive it by comparing digests.
func TestItemReachesAllHosts(t *testing.T) {
	t.Parallel()
	for _, n := range []int{9, 50, 400} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 1))
			tables, names := newFleet(n)
			tables[0].Put(gossip.Item{Key: "leave/e", Stamp: 7, TTLMS: 600_000}, start)
			rounds, most := 0, 0
			for ; rounds < 50; rounds++ {
				most = max(most, runRound(tables, names, rounds, 0, r))
				all := true
				for _, table := range tables {
					_, ok := table.Get("leave/e")
					all = all && ok
				}
				if all {
					break
				}
			}
			t.Logf("%d hosts: %d rounds", n, rounds+1)
			is.True(rounds < 12)
			is.True(most <= 3) // one item to each of three partners
		})
	}
}

// Items whose messages were lost must be recovered by comparing digests.
func TestDigestsRecoverLostItems(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := rand.New(rand.NewPCG(2, 2))
	tables, names := newFleet(30)
	for n := range 40 {
		tables[n%30].Put(gossip.Item{Key: fmt.Sprint("item/", n), Stamp: int64(n), TTLMS: 600_000}, start)
	}
	for at := range 30 {
		runRound(tables, names, at, 0.5, r)
	}
	for _, table := range tables {
		is.Equal(table.Len(), 40)
		is.Equal(*table.DigestExchange().Digest, *tables[0].DigestExchange().Digest)
	}
}

func TestNewerStampWins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	one, two := gossip.NewTable(gossip.Options{}), gossip.NewTable(gossip.Options{})
	older := gossip.Item{Key: "k", Stamp: 1, Value: []byte("a"), TTLMS: 1000}
	newer := gossip.Item{Key: "k", Stamp: 2, Value: []byte("b"), TTLMS: 1000}
	is.Equal(len(one.Merge([]gossip.Item{older, newer}, start)), 2)
	is.Equal(len(two.Merge([]gossip.Item{newer, older}, start)), 1)
	is.Equal(*one.DigestExchange().Digest, *two.DigestExchange().Digest)
	one.Expire(start.Add(2 * time.Second))
	is.Equal(one.Len(), 0)
	is.Equal(*one.DigestExchange().Digest, gossip.Digest{})
}

// In a large fleet two hosts per failure domain read from the platform, in a
// small one all do.
func TestReaderCount(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	readers := func(n, domains int) int {
		var all []gossip.Member
		for i := range n {
			all = append(all, gossip.Member{Name: fmt.Sprint("entry-", i), FailureDomain: fmt.Sprint(i % domains)})
		}
		count := 0
		for _, m := range all {
			if gossip.IsReader(m, all) {
				count++
			}
		}
		return count
	}
	is.Equal(readers(9, 3), 9)
	is.Equal(readers(400, 10), 20)
}

// There must be few readers. Each must have no source of its own, and serve
// about the same number of followers.
func TestSourceSpreadsFollowers(t *testing.T) {
	t.Parallel()
	const maxFollowers, maxSpread = 15, 4
	for _, c := range []struct{ hosts, domains, readers int }{{1, 1, 1}, {9, 3, 3}, {7, 3, 3}, {71, 3, 6}, {400, 4, 28}} {
		is := is.New(t)
		var all []gossip.Member
		for i := range c.hosts {
			all = append(all, gossip.Member{Name: fmt.Sprint("entry-", i), FailureDomain: fmt.Sprint(i % c.domains)})
		}
		domain := map[string]string{}
		for _, m := range all {
			domain[m.Name] = m.FailureDomain
		}
		serves := map[string]int{}
		readers := 0
		for _, m := range all {
			from := gossip.Source(m, all, maxFollowers)
			if from == "" {
				readers++
				continue
			}
			serves[from]++
			is.Equal(domain[from], m.FailureDomain)
			is.Equal(gossip.Source(gossip.Member{Name: from, FailureDomain: m.FailureDomain}, all, maxFollowers), "")
		}
		is.Equal(readers, c.readers)
		least, most := c.hosts, 0
		for _, n := range serves {
			least, most = min(least, n), max(most, n)
		}
		is.True(most <= maxFollowers)
		is.True(most-least <= maxSpread || len(serves) == 0)
	}
	// The host with the highest capacity reads.
	is.New(t).Equal(gossip.Source(gossip.Member{Name: "a", FailureDomain: "0"}, []gossip.Member{
		{Name: "a", FailureDomain: "0", Capacity: 1},
		{Name: "b", FailureDomain: "0", Capacity: 3},
		{Name: "c", FailureDomain: "0", Capacity: 2},
		{Name: "d", FailureDomain: "1", Capacity: 9},
	}, maxFollowers), "b")
	// A host that is not yet in the member list reads by itself.
	is.New(t).Equal(gossip.Source(gossip.Member{Name: "new", FailureDomain: "0"}, []gossip.Member{{Name: "old", FailureDomain: "0"}}, maxFollowers), "")
}

// Hosts that received an item at different times must not return it to each other after
// it has expired.
func TestExpiredItemDoesNotComeBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const ttl = 10 * time.Second
	tables, _ := newFleet(2)
	a, b := tables[0], tables[1]
	a.Put(gossip.Item{Key: "k", Stamp: 1, TTLMS: ttl.Milliseconds()}, start)
	received := start.Add(ttl / 2)
	b.Merge(a.Differing(gossip.Digest{}, received).Items, received)
	is.Equal(b.Len(), 1)
	for at := start.Add(ttl); at.Before(start.Add(3 * ttl)); at = at.Add(time.Second) {
		a.Expire(at)
		a.Merge(b.Differing(*a.DigestExchange().Digest, at).Items, at)
		b.Expire(at)
		b.Merge(a.Differing(*b.DigestExchange().Digest, at).Items, at)
	}
	is.Equal(a.Len(), 0)
	is.Equal(b.Len(), 0)
}
