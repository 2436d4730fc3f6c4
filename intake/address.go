package intake

import "container/heap"

// longestIdle returns the connection that has been idle longest. There must be one.
func (a *peerAddress[C]) longestIdle() *connection[C] {
	// Only connections are added to the list.
	c, _ := a.idle.Front().Value.(*connection[C])
	return c
}

// addressHeap has the addresses with idle connections. The first one has most connections;
// of several, the one with the connection that has been idle longest.
type addressHeap[C comparable] []*peerAddress[C]

var _ heap.Interface = (*addressHeap[int])(nil)

// Len implements heap.Interface.
func (h addressHeap[C]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h addressHeap[C]) Less(i, j int) bool {
	if h[i].count != h[j].count {
		return h[i].count > h[j].count
	}
	return h[i].longestIdle().since.Before(h[j].longestIdle().since)
}

// Swap implements heap.Interface.
func (h addressHeap[C]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *addressHeap[C]) Push(x any) {
	// Only addresses are pushed.
	a, _ := x.(*peerAddress[C])
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *addressHeap[C]) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	a.index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return a
}
