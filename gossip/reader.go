package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// allReadLimit is the largest number of hosts at which every host reads the
	// platform itself.
	allReadLimit = 12
	// readersPerDomain is the number of reading hosts per failure domain in a
	// larger fleet.
	readersPerDomain = 2
)

// Member is a host with its failure domain.
type Member struct {
	Name          string
	FailureDomain string
	// Capacity is the host's capacity relative to others. The hosts with the
	// highest capacity read.
	Capacity float64
}

// AllRead reports whether a fleet of n hosts is small enough that every host
// reads the platform itself.
func AllRead(n int) bool { return n <= allReadLimit }

// IsReader reports whether a host is one of those in its failure domain that
// read changes from the platform on behalf of the others. Each host computes
// this by itself; a temporary disagreement is harmless.
func IsReader(self Member, all []Member) bool {
	if AllRead(len(all)) {
		return true
	}
	ranked := byReadPriority(self.FailureDomain, all)
	n := slices.Index(ranked, self.Name)
	return n < 0 || n < readersPerDomain
}

// byReadPriority returns the names of the hosts in a failure domain, sorted by
// descending capacity and then by hash. The first ones read.
func byReadPriority(domain string, all []Member) []string {
	own := lo.Filter(all, func(m Member, _ int) bool { return m.FailureDomain == domain })
	slices.SortFunc(own, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(hashRank(a.Name), hashRank(b.Name)))
	})
	return lo.Map(own, func(m Member, _ int) string { return m.Name })
}

// Source returns the host from which self receives what is read from the
// platform, or "" if self is to read from the platform itself. The source is in
// the same failure domain, which has enough readers that none serves more than
// maxFollowers hosts. Followers are spread evenly over the readers.
func Source(self Member, all []Member, maxFollowers int) string {
	ranked := byReadPriority(self.FailureDomain, all)
	n := slices.Index(ranked, self.Name)
	readers := (len(ranked) + maxFollowers) / (maxFollowers + 1)
	if n < readers {
		return ""
	}
	return ranked[n%readers]
}

func hashRank(name string) uint64 { return xxhash.Sum64String("reader\x00" + name) }
