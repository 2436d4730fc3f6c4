package gossip

import (
	"math/bits"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Item is one piece of state.
type Item struct {
	Key   string `cbor:"k"`
	Stamp int64  `cbor:"s"`
	Value []byte `cbor:"v"`
	// TTLMS is the item's time to live in ms, which is what is left of it when the item
	// is sent.
	TTLMS int64 `cbor:"l"`
}

// Buckets is the number of buckets in a digest.
const Buckets = 32

// Digest summarizes all items of a table. Keys are hashed into buckets, and two
// tables with the same items in a bucket have the same value for it.
type Digest [Buckets]uint64

// Exchange is a message between two hosts, in either direction.
type Exchange struct {
	From  string `cbor:"f"`
	Items []Item `cbor:"i"`
	// Digest is set on exchanges that look for missed items.
	Digest *Digest `cbor:"d,omitempty"`
	// Partial is set if the sender has further items that differ. Hosts of older builds do
	// not tell it.
	Partial bool `cbor:"p,omitempty"`
}

// Options configures a table.
type Options struct {
	Self string
	// MaxBytes bounds the items of one exchange.
	MaxBytes int
	// RetransmitFactor scales how often each host sends an item on: this factor
	// times about the binary logarithm of the number of hosts.
	RetransmitFactor int
}

// entry is an item with its local bookkeeping.
type entry struct {
	item    Item
	expires time.Time
	// sends counts how often the item was sent on.
	sends int
}

// Table holds items. It is safe for concurrent use.
type Table struct {
	opts Options

	mu      sync.Mutex
	entries map[string]*entry
	// digest is updated incrementally as items are added and removed: each
	// bucket is the XOR of the hashes of its items.
	digest Digest
	// pending holds the keys of items that are still to be sent on.
	pending map[string]bool
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{opts: o, entries: map[string]*entry{}, pending: map[string]bool{}}
}

// Put adds an item that originates on this host, or replaces an older one with
// the same key.
func (t *Table) Put(i Item, now time.Time) {
	t.Merge([]Item{i}, now)
}

// Merge adds items received from a peer, and returns those that were new or
// replaced an older item.
func (t *Table) Merge(items []Item, now time.Time) []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var added []Item
	for _, i := range items {
		old, ok := t.entries[i.Key]
		if ok && old.item.Stamp >= i.Stamp || i.TTLMS <= 0 {
			continue
		}
		if ok {
			t.toggleDigest(old.item)
		}
		ttl := time.Duration(i.TTLMS) * time.Millisecond
		t.entries[i.Key] = &entry{item: i, expires: now.Add(ttl)}
		t.toggleDigest(i)
		t.pending[i.Key] = true
		added = append(added, i)
	}
	return added
}

// toggleDigest adds an item to the digest, or removes it if it was added
// before.
func (t *Table) toggleDigest(i Item) {
	sum := xxhash.Sum64String(i.Key + "\x00" + strconv.FormatInt(i.Stamp, 10))
	t.digest[bucket(i.Key)] ^= sum
}

func bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Expire removes items whose time to live has passed.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.entries {
		if now.Before(e.expires) {
			continue
		}
		t.toggleDigest(e.item)
		delete(t.entries, key)
		delete(t.pending, key)
	}
}

// withTimeLeft returns the item with its remaining time to live. Else hosts that compare
// digests would return expired items to each other for ever.
func (e *entry) withTimeLeft(now time.Time) Item {
	i := e.item
	i.TTLMS = e.expires.Sub(now).Milliseconds()
	return i
}

// NextExchange returns the next exchange for one partner in a fleet of n hosts.
// It holds the items that were sent on least often, up to MaxBytes, and counts
// them as sent once more. Items that reach the retransmission limit are not
// sent on again.
func (t *Table) NextExchange(n int, now time.Time) Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.opts.RetransmitFactor * (bits.Len(uint(n)) + 1)
	var keys []string
	for key := range t.pending {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int { return t.entries[a].sends - t.entries[b].sends })
	x := Exchange{From: t.opts.Self}
	size := 0
	for _, key := range keys {
		e := t.entries[key]
		if size += itemSize(e.item); size > t.opts.MaxBytes && len(x.Items) > 0 {
			break
		}
		x.Items = append(x.Items, e.withTimeLeft(now))
		e.sends++
		if e.sends >= limit {
			delete(t.pending, key)
		}
	}
	return x
}

// itemOverhead is the estimated encoded size of an item without its key and
// value.
const itemOverhead = 32

func itemSize(i Item) int { return len(i.Key) + len(i.Value) + itemOverhead }

// DigestExchange returns an exchange that carries the table's digest.
func (t *Table) DigestExchange() Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.digest
	return Exchange{From: t.opts.Self, Digest: &d}
}

// Differing returns the items of the buckets in which d differs from the
// table's digest, up to MaxBytes.
func (t *Table) Differing(d Digest, now time.Time) Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := Exchange{From: t.opts.Self}
	size := 0
	for key, e := range t.entries {
		b := bucket(key)
		if d[b] == t.digest[b] {
			continue
		}
		if size += itemSize(e.item); size > t.opts.MaxBytes && len(x.Items) > 0 {
			x.Partial = true
			break
		}
		x.Items = append(x.Items, e.withTimeLeft(now))
	}
	return x
}

// Get returns the item with the given key.
func (t *Table) Get(key string) (Item, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return Item{}, false
	}
	return e.item, true
}

// Items returns all items, in no particular order.
func (t *Table) Items(now time.Time) []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Item, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.withTimeLeft(now))
	}
	return all
}

// Len returns the number of items.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
