package gossip

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// partnerTerm is how long a host keeps its partners before it chooses others.
// It is long enough that connections to them are worth keeping open.
const partnerTerm = time.Minute

// Owner returns the member responsible for a key, chosen by rendezvous hashing
// so that all members compute the same one. It returns "" if there are no
// members.
func Owner(key string, members []string) string {
	owners := Owners(key, members, 1)
	if len(owners) == 0 {
		return ""
	}
	return owners[0]
}

// Owners returns up to n members for a key: the one that is responsible, and those that
// would be without the ones before them.
func Owners(key string, members []string, n int) []string {
	sums := make(map[string]uint64, len(members))
	for _, m := range members {
		sums[m] = xxhash.Sum64String(key + "\x00" + m)
	}
	rest := slices.Clone(members)
	owners := make([]string, 0, n)
	for len(owners) < n && len(rest) > 0 {
		owner := slices.MaxFunc(rest, func(a, b string) int { return cmp.Compare(sums[a], sums[b]) })
		owners = append(owners, owner)
		rest = slices.DeleteFunc(rest, func(m string) bool { return m == owner })
	}
	return owners
}

// Partners returns up to fanout members that the host self exchanges with at
// the given time. Each host chooses by a hash that includes its own name, so
// that the exchanges of all hosts form a random graph.
func Partners(self string, members []string, fanout int, now time.Time) []string {
	type candidate struct {
		name string
		sum  uint64
	}
	term := strconv.FormatInt(now.UnixNano()/int64(partnerTerm), 10)
	var candidates []candidate
	for _, m := range members {
		if m != self {
			candidates = append(candidates, candidate{name: m, sum: xxhash.Sum64String(self + "\x00" + m + "\x00" + term)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.sum, b.sum) })
	var names []string
	for _, d := range candidates[:min(fanout, len(candidates))] {
		names = append(names, d.name)
	}
	return names
}
