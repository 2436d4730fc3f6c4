package quarantine

import "time"

const (
	// provenFor is the minimum time for which a feature counts as proven after an answer
	// with it has succeeded.
	provenFor = 30 * time.Second
	// maxProven limits the proven features that each of the two sets holds.
	maxProven = 4096
)

// provenSet has the hashes of features with which answers have succeeded recently. A
// feature counts as proven for provenFor to twice provenFor, or less while there are more
// than maxProven such features. The zero value is empty.
type provenSet struct {
	// newer has the features that succeeded since rotatedAt, and older those of the
	// period before.
	newer, older map[uint64]struct{}
	rotatedAt    time.Time
}

func (p *provenSet) add(hash uint64, now time.Time) {
	p.rotate(now)
	if len(p.newer) >= maxProven {
		p.shift(now)
	}
	p.newer[hash] = struct{}{}
}

func (p *provenSet) contains(hash uint64, now time.Time) bool {
	p.rotate(now)
	_, inNewer := p.newer[hash]
	_, inOlder := p.older[hash]
	return inNewer || inOlder
}

func (p *provenSet) rotate(now time.Time) {
	age := now.Sub(p.rotatedAt)
	if age < provenFor {
		return
	}
	if age >= 2*provenFor {
		p.newer = nil
	}
	p.shift(now)
}

func (p *provenSet) shift(now time.Time) {
	p.older, p.newer = p.newer, map[uint64]struct{}{}
	p.rotatedAt = now
}
