package quarantine

import "time"

const (
	// provenFor is the minimum time for which a part counts as proven after an answer
	// with it has succeeded.
	provenFor = 30 * time.Second
	// maxProven limits the proven parts that each of the two sets holds.
	maxProven = 4096
)

// provenParts has the parts with which answers have succeeded recently. A part counts
// as proven for provenFor to twice provenFor, or less while there are more than
// maxProven such parts. The zero value is empty.
type provenParts struct {
	// newer has the parts that succeeded since rotatedAt, and older those of the
	// period before.
	newer, older map[uint64]struct{}
	rotatedAt    time.Time
}

func (p *provenParts) add(part uint64, now time.Time) {
	p.rotate(now)
	if len(p.newer) >= maxProven {
		p.shift(now)
	}
	p.newer[part] = struct{}{}
}

func (p *provenParts) contains(part uint64, now time.Time) bool {
	p.rotate(now)
	_, inNewer := p.newer[part]
	_, inOlder := p.older[part]
	return inNewer || inOlder
}

func (p *provenParts) rotate(now time.Time) {
	age := now.Sub(p.rotatedAt)
	if age < provenFor {
		return
	}
	if age >= 2*provenFor {
		p.newer = nil
	}
	p.shift(now)
}

func (p *provenParts) shift(now time.Time) {
	p.older, p.newer = p.newer, map[uint64]struct{}{}
	p.rotatedAt = now
}
