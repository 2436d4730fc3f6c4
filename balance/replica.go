package balance

import (
	"math/rand/v2"

	"github.com/samber/lo"

	"bulrushshed/delivery"
	"bulrushshed/hostlog"
)

// Pick draws two of the replicas that are not in tried, and returns the one with
// less work from this host. On a tie, a replica in this host's failure domain
// wins.
func Pick(replicas []hostlog.Host, tried map[string]bool, work func(string) float64, domain string) (delivery.Replica, bool) {
	untried := lo.Filter(replicas, func(h hostlog.Host, _ int) bool { return !tried[h.Name] })
	if len(untried) == 0 {
		return delivery.Replica{}, false
	}
	i := rand.IntN(len(untried))
	best := untried[i]
	if len(untried) > 1 {
		j := (i + 1 + rand.IntN(len(untried)-1)) % len(untried)
		best = lessLoaded(best, untried[j], work, domain)
	}
	return delivery.Replica{Endpoint: best.Name, Address: best.Address, Incarnation: best.Incarnation}, true
}

func lessLoaded(a, b hostlog.Host, work func(string) float64, domain string) hostlog.Host {
	wa, wb := work(a.Name), work(b.Name)
	if wb < wa || wb == wa && b.FailureDomain == domain && a.FailureDomain != domain {
		return b
	}
	return a
}
