package feed

import "cmp"

// Position is a place in a topic. The store begins a new era each time it is restored
// from a backup, and then gives out offsets again.
type Position struct {
	Era    int64
	Offset int64
}

// Start precedes all positions.
var Start = Position{Offset: -1}

// Compare orders positions by era and then by offset.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Generation identifies a change of the group of hosts. Its number increases with each
// change, but falls back when the store is restored.
type Generation struct {
	Era    int64
	Number int64
}

// Compare orders generations by era and then by number.
func (g Generation) Compare(h Generation) int {
	return cmp.Or(cmp.Compare(g.Era, h.Era), cmp.Compare(g.Number, h.Number))
}

// FirstEra is the era of a store that was never restored.
const FirstEra = 1

// numberBits is the size in bits of a generation's number in a fencing token.
const numberBits = 32

// Fence returns the generation as a fencing token. Tokens increase across eras; in the
// first era they are the generation's number.
func (g Generation) Fence() int64 { return max(g.Era-FirstEra, 0)<<numberBits | g.Number }
