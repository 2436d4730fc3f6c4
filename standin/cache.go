package standin

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"bulrushshed/engine"
)

// prefixCache simulates a cache of prompt prefixes, stored as chains of blocks
// with least-recently-used eviction.
type prefixCache struct {
	capacity int
	// publishDelay is the delay before an event is published.
	publishDelay time.Duration
	// lossInterval is n if every nth event is lost, or 0 if none is.
	lossInterval int

	mu sync.Mutex
	// blocks are ordered from least to most recently used.
	blocks []uint64
	events []pendingEvent
	seq    int64
}

// pendingEvent is a cache event with the time at which it occurred.
type pendingEvent struct {
	event engine.CacheEvent
	at    time.Time
}

// maxCacheEvents bounds the event buffer; the oldest events are dropped first.
const maxCacheEvents = 4096

func newPrefixCache(capacity int, publishDelay time.Duration, lossInterval int) *prefixCache {
	return &prefixCache{capacity: capacity, publishDelay: publishDelay, lossInterval: lossInterval}
}

// insert adds the blocks of a prompt and returns the number of its tokens that
// were not cached.
func (p *prefixCache) insert(prompt string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	missing := 0
	for _, b := range engine.BlockHashes(prompt) {
		i := slices.Index(p.blocks, b)
		if i >= 0 {
			p.blocks = append(slices.Delete(p.blocks, i, i+1), b)
			continue
		}
		missing += engine.BlockTokens
		p.blocks = append(p.blocks, b)
		p.recordEvent(engine.CacheStored, b, now)
	}
	for len(p.blocks) > p.capacity {
		p.recordEvent(engine.CacheEvicted, p.blocks[0], now)
		p.blocks = p.blocks[1:]
	}
	return missing
}

// recordEvent appends an event under the next sequence number, unless the
// simulated loss drops it.
func (p *prefixCache) recordEvent(kind engine.CacheEventKind, block uint64, now time.Time) {
	p.seq++
	if p.lossInterval > 0 && p.seq%int64(p.lossInterval) == 0 {
		return
	}
	p.events = append(p.events, pendingEvent{event: engine.CacheEvent{Seq: p.seq, Kind: kind, Block: block}, at: now})
	if len(p.events) > maxCacheEvents {
		p.events = p.events[1:]
	}
}

// publishedAfter returns the events after a sequence number whose publication
// delay has passed.
func (p *prefixCache) publishedAfter(after int64, now time.Time) []engine.CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []engine.CacheEvent{}
	for _, pending := range p.events {
		if pending.event.Seq > after && now.Sub(pending.at) >= p.publishDelay {
			out = append(out, pending.event)
		}
	}
	return out
}

func (e *Engine) serveCache(c fiber.Ctx) error {
	after, _ := strconv.ParseInt(c.Query("after", "0"), 10, 64)
	return c.JSON(e.cache.publishedAfter(after, time.Now()))
}

func (e *Engine) serveExport(c fiber.Ctx) error {
	var m engine.KVCache
	if err := c.Bind().JSON(&m); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	e.mu.Lock()
	seq, ok := e.sequences[m.RequestID]
	m.Layers = seq.layers
	e.mu.Unlock()
	if !ok {
		return c.SendStatus(fiber.StatusNotFound)
	}
	m.Tokens = seq.tokens
	m.Checksum = kvChecksum(m)
	return c.JSON(m)
}

func (e *Engine) serveImport(c fiber.Ctx) error {
	var m engine.KVCache
	if err := c.Bind().JSON(&m); err != nil || m.Checksum != kvChecksum(m) {
		return c.Status(fiber.StatusBadRequest).SendString("KV cache is malformed or has the wrong checksum")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holding.Layers.Covers(m.Layers) {
		return c.Status(fiber.StatusConflict).SendString("the engine does not hold the layers of the KV cache")
	}
	e.sequences[m.RequestID] = sequence{layers: m.Layers, tokens: m.Tokens, lastUsed: time.Now()}
	return c.SendStatus(fiber.StatusNoContent)
}

// kvChecksum is the checksum of an exported KV cache.
func kvChecksum(m engine.KVCache) uint64 {
	return xxhash.Sum64String(m.RequestID + strconv.Itoa(m.Tokens) + strconv.Itoa(m.Layers.From) + strconv.Itoa(m.Layers.To))
}
