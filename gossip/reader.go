package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
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
	var own []string
	for _, m := range all {
		if m.FailureDomain == self.FailureDomain {
			own = append(own, m.Name)
		}
	}
	slices.SortFunc(own, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	n := slices.Index(own, self.Name)
	return n < 0 || n < readersPerDomain
}

func rank(name string) uint64 { return xxhash.Sum64String("reader\x00" + name) }
