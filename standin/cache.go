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

// prefixCache keeps prompt prefixes as chains of blocks, the least recently
// used of which go first.
type prefixCache struct {
	capacity int
	lag      time.Duration
	gap      int

	mu sync.Mutex
	// blocks are in order of use, the last used at the end.
	blocks []uint64
	events []datedEvent
	seq    int64
}

type datedEvent struct {
	event engine.CacheEvent
	at    time.Time
}

const maxCacheEvents = 4096

func newPrefixCache(capacity int, lag time.Duration, gap int) *prefixCache {
	return &prefixCache{capacity: capacity, lag: lag, gap: gap}
}

// admit caches a prompt and returns how many of its tokens were not cached.
func (p *prefixCache) admit(prompt string, now time.Time) int {
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
		p.note(engine.CacheStored, b, now)
	}
	for len(p.blocks) > p.capacity {
		p.note(engine.CacheEvicted, p.blocks[0], now)
		p.blocks = p.blocks[1:]
	}
	return missing
}

func (p *prefixCache) note(kind engine.CacheEventKind, block uint64, now time.Time) {
	p.seq++
	if p.gap > 0 && p.seq%int64(p.gap) == 0 {
		return
	}
	p.events = append(p.events, datedEvent{event: engine.CacheEvent{Seq: p.seq, Kind: kind, Block: block}, at: now})
	if len(p.events) > maxCacheEvents {
		p.events = p.events[1:]
	}
}

// published returns the events behind a sequence number that are old enough.
func (p *prefixCache) published(after int64, now time.Time) []engine.CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []engine.CacheEvent{}
	for _, d := range p.events {
		if d.event.Seq > after && now.Sub(d.at) >= p.lag {
			out = append(out, d.event)
		}
	}
	return out
}

func (e *Engine) serveCache(c fiber.Ctx) error {
	after, _ := strconv.ParseInt(c.Query("after", "0"), 10, 64)
	return c.JSON(e.cache.published(after, time.Now()))
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
	m.Checksum = kvSum(m)
	return c.JSON(m)
}

func (e *Engine) serveImport(c fiber.Ctx) error {
	var m engine.KVCache
	if err := c.Bind().JSON(&m); err != nil || m.Checksum != kvSum(m) {
		return c.Status(fiber.StatusBadRequest).SendString("unreadable KV cache")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holding.Layers.Covers(m.Layers) {
		return c.Status(fiber.StatusConflict).SendString("KV cache is of other layers")
	}
	e.sequences[m.RequestID] = sequence{layers: m.Layers, tokens: m.Tokens, used: time.Now()}
	return c.SendStatus(fiber.StatusNoContent)
}

func kvSum(m engine.KVCache) uint64 {
	return xxhash.Sum64String(m.RequestID + strconv.Itoa(m.Tokens) + strconv.Itoa(m.Layers.From) + strconv.Itoa(m.Layers.To))
}
