package retrybudget

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 40
	// chargedBuckets is the number of buckets in which a charge counts: those of a window,
	// the partial one at its end, and one more, as a request arrives later than its token
	// is taken.
	chargedBuckets = windowBuckets + 2
	// loanBuckets is the number of buckets, and maxLoanTime the longest time, for which
	// lent tokens can be used.
	loanBuckets = windowBuckets / 5
	maxLoanTime = 2 * time.Second
	// lentBuckets is the number of buckets in which lent tokens count.
	lentBuckets = chargedBuckets + loanBuckets
	// storedBuckets covers a window and the one before.
	storedBuckets = 2 * windowBuckets

	// newWeight is the weight of the requests of a window in the ratio part, and oldWeight
	// that of the requests of the window before. Their sum is 1.
	newWeight = 0.15
	oldWeight = 1 - newWeight

	// urgentMemory is the time over which the tokens used by more urgent requests are
	// counted. As many are reserved for them, but at most reservedFraction of what the
	// account has had in the last window.
	urgentMemory     = 2 * time.Second
	reservedFraction = 0.5
	// lentFraction is the fraction of its tokens that a host lends at a time.
	lentFraction = 0.5
	// tolerance is larger than the rounding errors of sums of tokens.
	tolerance = 1e-6
)

// Retry describes a request that is to be sent once more.
type Retry struct {
	Service string
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	// Begun is set if its caller already reads the answer. Such requests go first.
	Begun bool
	// NoWait is set if the request does not wait for tokens of other hosts.
	NoWait bool
}

// before reports whether r is more urgent than other.
func (r Retry) before(other Retry) bool {
	if r.Begun != other.Begun {
		return r.Begun
	}
	return r.Priority < other.Priority
}

// use is a token that a request has used.
type use struct {
	at    time.Duration
	retry Retry
}

// loan is what is left of the tokens borrowed with one question.
type loan struct {
	tokens  float64
	expires time.Duration
}

// buckets counts something in each of the latest buckets.
type buckets [storedBuckets]float64

// account has what this host knows of a service.
type account struct {
	requests, spent, lent buckets
	// newest is the number of the newest bucket.
	newest int64
	loans  []loan
	uses   []use
}

// advance clears the buckets that begin up to the given one.
func (a *account) advance(bucket int64) {
	for a.newest < bucket {
		a.newest = max(a.newest+1, bucket-storedBuckets+1)
		i := a.newest % storedBuckets
		a.requests[i], a.spent[i], a.lent[i] = 0, 0, 0
	}
}

// at returns the count in a bucket, which is 0 unless the bucket is stored.
func (a *account) at(b *buckets, bucket int64) float64 {
	if bucket > a.newest || bucket <= a.newest-storedBuckets || bucket < 0 {
		return 0
	}
	return b[bucket%storedBuckets]
}

// sum returns the counts of the buckets from first to last.
func (a *account) sum(b *buckets, first, last int64) float64 {
	total := 0.0
	for k := first; k <= last; k++ {
		total += a.at(b, k)
	}
	return total
}

// available returns the tokens that can be charged now for the given number of buckets,
// where extra is this host's share of the extra part. The rule must be kept in each window
// that ends in one of these buckets. Of a bucket that is partly in a window, charges count
// and requests have the smaller weight.
func (a *account) available(ratio, extra float64, lasting int64) float64 {
	end := a.newest
	credit := newWeight*a.sum(&a.requests, end-windowBuckets, end) + oldWeight*a.sum(&a.requests, end-storedBuckets+1, end-windowBuckets-1)
	charged := a.sum(&a.spent, end-chargedBuckets+1, end) + a.sum(&a.lent, end-lentBuckets+1, end)
	least := math.Inf(1)
	for range lasting {
		least = min(least, ratio*credit+extra-charged)
		credit += (oldWeight-newWeight)*a.at(&a.requests, end-windowBuckets) - oldWeight*a.at(&a.requests, end-storedBuckets+1)
		charged -= a.at(&a.spent, end-chargedBuckets+1) + a.at(&a.lent, end-lentBuckets+1)
		end++
	}
	return max(least, 0)
}

// charged returns what has been spent and lent in the last window.
func (a *account) charged() float64 {
	first := a.newest - windowBuckets
	return a.sum(&a.spent, first, a.newest) + a.sum(&a.lent, first, a.newest)
}

// borrowed returns the borrowed tokens that can still be used.
func (a *account) borrowed(now time.Duration) float64 {
	a.loans = slices.DeleteFunc(a.loans, func(l loan) bool { return now >= l.expires || l.tokens <= 0 })
	return lo.SumBy(a.loans, func(l loan) float64 { return l.tokens })
}

// reserved returns the tokens that are left to more urgent requests than r.
func (a *account) reserved(r Retry, now time.Duration) float64 {
	a.uses = slices.DeleteFunc(a.uses, func(u use) bool { return now-u.at >= urgentMemory })
	return float64(lo.CountBy(a.uses, func(u use) bool { return u.retry.before(r) }))
}

// spend takes a token for a retry: borrowed ones first, as they expire.
func (a *account) spend(r Retry, own float64, now time.Duration) bool {
	have := own + a.borrowed(now)
	left := have - 1 + tolerance
	if left < 0 || left < min(a.reserved(r, now), reservedFraction*(have+a.charged())) {
		return false
	}
	need := 1.0
	for i := range a.loans {
		taken := min(a.loans[i].tokens, need)
		a.loans[i].tokens -= taken
		need -= taken
	}
	a.spent[a.newest%storedBuckets] += need
	a.uses = append(a.uses, use{at: now, retry: r})
	return true
}

// lend charges up to want tokens, of which own are available, and returns their number. A
// fraction of a token is lent as a whole, since only together with others it is of use.
func (a *account) lend(want, own float64) float64 {
	granted := min(want, max(lentFraction*own, min(own, 1)))
	a.lent[a.newest%storedBuckets] += granted
	return granted
}

// idle reports whether the account has nothing that a new one would not have.
func (a *account) idle(bucket int64, now time.Duration) bool {
	a.advance(bucket)
	return a.requests == buckets{} && a.spent == buckets{} && a.lent == buckets{} && a.borrowed(now) == 0
}
