package gossip

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// epoch is how long a host keeps its partners, so that connections to them
// are worth keeping.
const epoch = time.Minute

// Home returns the member that is responsible for a key, which all members work
// out alike, or "" if there is none.
func Home(key string, members []string) string {
	home := ""
	most := uint64(0)
	for _, m := range members {
		if sum := xxhash.Sum64String(key + "\x00" + m); home == "" || sum > most {
			home, most = m, sum
		}
	}
	return home
}

// Partners returns the fanout members that a host exchanges with for a while.
// Each host draws its own, by hash, so that the fleet's exchanges form a
// random graph.
func Partners(self string, members []string, fanout int, now time.Time) []string {
	type drawn struct {
		name string
		sum  uint64
	}
	round := strconv.FormatInt(now.UnixNano()/int64(epoch), 10)
	var all []drawn
	for _, m := range members {
		if m != self {
			all = append(all, drawn{name: m, sum: xxhash.Sum64String(self + "\x00" + m + "\x00" + round)})
		}
	}
	slices.SortFunc(all, func(a, b drawn) int { return cmp.Compare(a.sum, b.sum) })
	var names []string
	for _, d := range all[:min(fanout, len(all))] {
		names = append(names, d.name)
	}
	return names
}
