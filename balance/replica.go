package balance

import (
	"math/rand/v2"

	"github.com/samber/lo"

	"bulrushshed/delivery"
	"bulrushshed/hostlog"
)

// Pick draws two of the replicas that are not in tried, and returns the one
// with less own work. Replicas in the own failure domain win a tie.
func Pick(replicas []hostlog.Host, tried map[string]bool, work func(string) float64, domain string) (delivery.Replica, bool) {
	left := lo.Filter(replicas, func(h hostlog.Host, _ int) bool { return !tried[h.Name] })
	if len(left) == 0 {
		return delivery.Replica{}, false
	}
	i := rand.IntN(len(left))
	best := left[i]
	if len(left) > 1 {
		j := (i + 1 + rand.IntN(len(left)-1)) % len(left)
		best = lighter(best, left[j], work, domain)
	}
	return delivery.Replica{Endpoint: best.Name, Address: best.Address, Incarnation: best.Incarnation}, true
}

func lighter(a, b hostlog.Host, work func(string) float64, domain string) hostlog.Host {
	wa, wb := work(a.Name), work(b.Name)
	if wb < wa || wb == wa && b.FailureDomain == domain && a.FailureDomain != domain {
		return b
	}
	return a
}
