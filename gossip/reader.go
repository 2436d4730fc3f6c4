package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// smallFleet is the number of hosts up to which all read the platform.
	smallFleet = 12
	// readersPerDomain is the number of hosts of a failure domain that read
	// it at once in a larger fleet.
	readersPerDomain = 2
)

// Member is a host with its failure domain.
type Member struct {
	Name          string
	FailureDomain string
	// Power is how much a host can do, beside others; the strongest ones read.
	Power float64
}

// AllRead reports whether a fleet of n hosts is so small that all of them read
// what the platform has.
func AllRead(n int) bool { return n <= smallFleet }

// Reads reports whether a host is one of those of its failure domain that read
// what the platform has as it changes, for all others. Each host works this out by itself; that
// they may differ for a while does no harm.
func Reads(self Member, all []Member) bool {
	if AllRead(len(all)) {
		return true
	}
	own := ranked(self.FailureDomain, all)
	n := slices.Index(own, self.Name)
	return n < 0 || n < readersPerDomain
}

// ranked returns the names of a failure domain's hosts, those that read first.
func ranked(domain string, all []Member) []string {
	own := lo.Filter(all, func(m Member, _ int) bool { return m.FailureDomain == domain })
	slices.SortFunc(own, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(rank(a.Name), rank(b.Name)))
	})
	return lo.Map(own, func(m Member, _ int) string { return m.Name })
}

// Source returns the host of the same failure domain from which a host gets what
// the platform has, if each one that reads serves up to fed others; "" if the host
// is to read by itself. The others are spread over those that read.
func Source(self Member, all []Member, fed int) string {
	own := ranked(self.FailureDomain, all)
	n := slices.Index(own, self.Name)
	readers := (len(own) + fed) / (fed + 1)
	if n < readers {
		return ""
	}
	return own[n%readers]
}

func rank(name string) uint64 { return xxhash.Sum64String("reader\x00" + name) }
