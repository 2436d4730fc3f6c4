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
	// LifeMS is how long the item counts from when a host learns of it.
	LifeMS int64 `cbor:"l"`
}

// Buckets is the number of parts that a digest compares.
const Buckets = 32

// Digest sums up all items of a table by bucket.
type Digest [Buckets]uint64

// Exchange is what two hosts tell each other, in either direction.
type Exchange struct {
	From  string `cbor:"f"`
	Items []Item `cbor:"i"`
	// Digest is set on exchanges that look for missed items.
	Digest *Digest `cbor:"d,omitempty"`
}

// Options bound a table.
type Options struct {
	Self string
	// MaxBytes bounds the items of one exchange.
	MaxBytes int
	// Redundancy times the logarithm of the fleet is how often each host
	// passes an item on.
	Redundancy int
}

// entry is an item as one host keeps it.
type entry struct {
	item    Item
	expires time.Time
	// sent is how often it was passed on.
	sent int
}

// Table keeps items; it is safe for concurrent use.
type Table struct {
	opts Options

	mu      sync.Mutex
	entries map[string]*entry
	// digest is kept up to date as items come and go: a bucket is the XOR
	// of its items' sums.
	digest Digest
	// fresh holds the keys that are still to be passed on.
	fresh map[string]bool
}

// NewTable returns a table without items.
func NewTable(o Options) *Table {
	return &Table{opts: o, entries: map[string]*entry{}, fresh: map[string]bool{}}
}

// Put adds an own item or replaces an older one with its key.
func (t *Table) Put(i Item, now time.Time) {
	t.Merge([]Item{i}, now)
}

// Merge takes items of a peer and returns those that were new.
func (t *Table) Merge(items []Item, now time.Time) []Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var learnt []Item
	for _, i := range items {
		old, ok := t.entries[i.Key]
		if ok && old.item.Stamp >= i.Stamp {
			continue
		}
		if ok {
			t.toggle(old.item)
		}
		life := time.Duration(i.LifeMS) * time.Millisecond
		t.entries[i.Key] = &entry{item: i, expires: now.Add(life)}
		t.toggle(i)
		t.fresh[i.Key] = true
		learnt = append(learnt, i)
	}
	return learnt
}

// toggle adds an item to the digest, or takes it out again.
func (t *Table) toggle(i Item) {
	sum := xxhash.Sum64String(i.Key + "\x00" + strconv.FormatInt(i.Stamp, 10))
	t.digest[bucket(i.Key)] ^= sum
}

func bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Expire drops items whose life is over.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.entries {
		if now.Before(e.expires) {
			continue
		}
		t.toggle(e.item)
		delete(t.entries, key)
		delete(t.fresh, key)
	}
}

// News returns the next exchange for one partner in a fleet of n hosts: the
// items that were passed on least often, up to the bound.
func (t *Table) News(n int) Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.opts.Redundancy * (bits.Len(uint(n)) + 1)
	var keys []string
	for key := range t.fresh {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int { return t.entries[a].sent - t.entries[b].sent })
	x := Exchange{From: t.opts.Self}
	size := 0
	for _, key := range keys {
		e := t.entries[key]
		if size += cost(e.item); size > t.opts.MaxBytes && len(x.Items) > 0 {
			break
		}
		x.Items = append(x.Items, e.item)
		e.sent++
		if e.sent >= limit {
			delete(t.fresh, key)
		}
	}
	return x
}

// itemOverhead is the size of an item beside its key and value.
const itemOverhead = 32

func cost(i Item) int { return len(i.Key) + len(i.Value) + itemOverhead }

// Compare returns an exchange that carries the table's digest.
func (t *Table) Compare() Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.digest
	return Exchange{From: t.opts.Self, Digest: &d}
}

// Differing returns the items of the buckets in which a digest differs from
// the table's, up to the bound on bytes.
func (t *Table) Differing(d Digest) Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := Exchange{From: t.opts.Self}
	size := 0
	for key, e := range t.entries {
		b := bucket(key)
		if d[b] == t.digest[b] {
			continue
		}
		if size += cost(e.item); size > t.opts.MaxBytes && len(x.Items) > 0 {
			break
		}
		x.Items = append(x.Items, e.item)
	}
	return x
}

// Get returns the item of a key.
func (t *Table) Get(key string) (Item, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return Item{}, false
	}
	return e.item, true
}

// Len returns the number of items.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
