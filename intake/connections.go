package intake

import (
	"container/heap"
	"container/list"
	"net/netip"
	"sync"
	"time"
)

const (
	// connectionsFraction is the fraction of the descriptors for sockets that the
	// connections of callers may use. The rest is for replicas, the store, other hosts and
	// the other listeners.
	connectionsFraction = 0.7
	// connectionBytes is the memory that a connection of a caller is assumed to take, in the
	// process and in the kernel, while it has no request.
	connectionBytes = 16 << 10
	// progressTime is the shortest time over which the rate of a request's bytes is taken. A
	// request that has just begun would otherwise have any rate.
	progressTime = time.Second
	// maxCandidates bounds the connections that are compared to find the one with least
	// progress, so that a flood of connections does not use up the processor. Later
	// searches compare others.
	maxCandidates = 512
	// sitePrefixBits is the length of the prefix of IPv6 addresses that one client has for
	// itself.
	sitePrefixBits = 64
)

// DefaultMaxConnections returns the bound on the connections of callers for a host with a
// number of descriptors for sockets, and a number of bytes for requests. Connections without
// a request take at most half of the latter.
func DefaultMaxConnections(sockets int, requestBytes int64) int {
	byMemory := requestBytes / 2 / connectionBytes
	return max(int(min(int64(connectionsFraction*float64(sockets)), byMemory)), 1)
}

// ConnectionOptions are the bounds of a Connections.
type ConnectionOptions struct {
	// Max bounds all connections, and MaxPerAddress those of one peer address; 0 means no
	// bound.
	Max, MaxPerAddress int
}

// Connections has the connections of a server, and chooses which one to close at the bound:
// the one that has been idle longest, first of the address with most connections, or else
// the one whose request makes least progress. A connection whose request has been read
// completely is never chosen, because the request may be running. Connections are known by
// keys of type C. It is safe for concurrent use.
type Connections[C comparable] struct {
	opts ConnectionOptions

	mu      sync.Mutex
	entries map[C]*connection[C]
	// addresses has the peer addresses with connections, and idle those of them that have
	// idle ones.
	addresses map[netip.Addr]*peerAddress[C]
	idle      addressHeap[C]
	// reading has the connections in stateReading, in no order. next is the index at which
	// the next search in it begins.
	reading []*connection[C]
	next    int
}

// connectionState is what a connection is used for.
type connectionState int8

const (
	// stateIdle means that the connection waits for the first byte of a request.
	stateIdle connectionState = iota
	// stateReading means that a request is being read.
	stateReading
	// stateServing means that a request has been read and not been answered completely.
	stateServing
)

type connection[C comparable] struct {
	key     C
	address *peerAddress[C]
	state   connectionState
	// since is when the connection became idle, or when its request began. bytes is the
	// number of bytes of the request, in stateReading.
	since time.Time
	bytes int
	// index is that in Connections.reading, in stateReading.
	index int
	// element is that in peerAddress.idle, in stateIdle.
	element *list.Element
}

// peerAddress has the connections of one address.
type peerAddress[C comparable] struct {
	ip    netip.Addr
	count int
	// idle has the idle connections, the one that has been idle longest first.
	idle *list.List
	// index is that in Connections.idle, or -1.
	index int
}

// NewConnections returns a Connections without any connection.
func NewConnections[C comparable](opts ConnectionOptions) *Connections[C] {
	return &Connections[C]{opts: opts, entries: map[C]*connection[C]{}, addresses: map[netip.Addr]*peerAddress[C]{}}
}

// Len returns the number of connections.
func (t *Connections[C]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Max returns the bound on all connections, or 0 if there is none.
func (t *Connections[C]) Max() int { return t.opts.Max }

// Admit adds an idle connection, if there is room or room can be made. The connections that
// it returns have been removed to make room, and must be closed; so must the new one if it
// was not admitted.
func (t *Connections[C]) Admit(key C, ip netip.Addr, now time.Time) (evicted []C, admitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.address(ip)
	if t.opts.MaxPerAddress > 0 && a.count >= t.opts.MaxPerAddress {
		c := t.evictable(a, now)
		if c == nil {
			return nil, false
		}
		t.remove(c)
		evicted = append(evicted, c.key)
	}
	if t.opts.Max > 0 && len(t.entries) >= t.opts.Max {
		c := t.evictable(nil, now)
		if c == nil {
			t.forgetUnused(a)
			return evicted, false
		}
		t.remove(c)
		evicted = append(evicted, c.key)
	}
	// The last connection of the address may have been removed, and the address with it.
	a = t.address(ip)
	a.count++
	c := &connection[C]{key: key, address: a}
	t.entries[key] = c
	t.setIdle(c, now)
	return evicted, true
}

// Read records that bytes of a request have arrived on a connection; 0 bytes mean that a
// request has begun with bytes recorded before. It returns false if the connection has been
// removed; its request must not be served.
func (t *Connections[C]) Read(key C, n int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.entries[key]
	if !ok {
		return false
	}
	if c.state == stateIdle {
		t.leaveState(c)
		c.state, c.since, c.bytes, c.index = stateReading, now, 0, len(t.reading)
		t.reading = append(t.reading, c)
	}
	c.bytes += n
	return true
}

// Serve records that the request of a connection has been read completely. It returns false
// if the connection has been removed; its request must not be served.
func (t *Connections[C]) Serve(key C) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.entries[key]
	if !ok {
		return false
	}
	t.leaveState(c)
	c.state = stateServing
	return true
}

// Idle records that a connection waits for the first byte of a request.
func (t *Connections[C]) Idle(key C, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.entries[key]; ok {
		t.leaveState(c)
		t.setIdle(c, now)
	}
}

// Remove removes a connection that has been closed.
func (t *Connections[C]) Remove(key C) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.entries[key]; ok {
		t.remove(c)
	}
}

// EvictIdle removes up to n idle connections, and returns them in the order of Admit. They
// must be closed.
func (t *Connections[C]) EvictIdle(n int) []C {
	t.mu.Lock()
	defer t.mu.Unlock()
	var evicted []C
	for len(evicted) < n && len(t.idle) > 0 {
		c := t.idle[0].longestIdle()
		t.remove(c)
		evicted = append(evicted, c.key)
	}
	return evicted
}

// evictable returns the connection to close at the bound, or nil if none may be closed. If
// only is not nil, it is one of that address.
func (t *Connections[C]) evictable(only *peerAddress[C], now time.Time) *connection[C] {
	switch {
	case only != nil && only.idle.Len() > 0:
		return only.longestIdle()
	case only == nil && len(t.idle) > 0:
		return t.idle[0].longestIdle()
	}
	return t.leastProgress(only, now)
}

// leastProgress returns the connection that is reading a request at the lowest rate, of one
// address if only is not nil.
func (t *Connections[C]) leastProgress(only *peerAddress[C], now time.Time) *connection[C] {
	var worst *connection[C]
	var worstRate float64
	for range min(len(t.reading), maxCandidates) {
		t.next = (t.next + 1) % len(t.reading)
		c := t.reading[t.next]
		if only != nil && c.address != only {
			continue
		}
		rate := float64(c.bytes) / max(now.Sub(c.since), progressTime).Seconds()
		if worst == nil || rate < worstRate || rate == worstRate && c.since.Before(worst.since) {
			worst, worstRate = c, rate
		}
	}
	return worst
}

func (t *Connections[C]) setIdle(c *connection[C], now time.Time) {
	c.state, c.since = stateIdle, now
	c.element = c.address.idle.PushBack(c)
	t.reorder(c.address)
}

// leaveState removes a connection from what is kept for its state.
func (t *Connections[C]) leaveState(c *connection[C]) {
	switch c.state {
	case stateIdle:
		c.address.idle.Remove(c.element)
		t.reorder(c.address)
	case stateReading:
		last := t.reading[len(t.reading)-1]
		t.reading[c.index], last.index = last, c.index
		t.reading[len(t.reading)-1] = nil
		t.reading = t.reading[:len(t.reading)-1]
	case stateServing:
	}
}

func (t *Connections[C]) remove(c *connection[C]) {
	t.leaveState(c)
	delete(t.entries, c.key)
	c.address.count--
	t.reorder(c.address)
	t.forgetUnused(c.address)
}

// address returns the address with the connections of a peer.
func (t *Connections[C]) address(ip netip.Addr) *peerAddress[C] {
	ip = ip.Unmap().WithZone("")
	if ip.Is6() {
		// It fails only for addresses with fewer bits.
		site, _ := ip.Prefix(sitePrefixBits)
		ip = site.Addr()
	}
	a, ok := t.addresses[ip]
	if !ok {
		a = &peerAddress[C]{ip: ip, idle: list.New(), index: -1}
		t.addresses[ip] = a
	}
	return a
}

// forgetUnused removes an address without connections.
func (t *Connections[C]) forgetUnused(a *peerAddress[C]) {
	if a.count == 0 {
		delete(t.addresses, a.ip)
	}
}

// reorder moves an address to its place in t.idle.
func (t *Connections[C]) reorder(a *peerAddress[C]) {
	switch {
	case a.idle.Len() == 0 && a.index >= 0:
		heap.Remove(&t.idle, a.index)
	case a.idle.Len() > 0 && a.index < 0:
		heap.Push(&t.idle, a)
	case a.index >= 0:
		heap.Fix(&t.idle, a.index)
	}
}
