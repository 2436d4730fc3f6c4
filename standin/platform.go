package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"bulrushshed/hostlog"
)

// PlatformOptions bound the stand-in platform.
type PlatformOptions struct {
	// AppendRate is the number of appends that it takes a second.
	AppendRate int
	// Retain is how long it keeps a record.
	Retain time.Duration
	// HostLag is how late a change shows on the list of hosts.
	HostLag time.Duration
	// HostTTL is how long a host stays on the list unannounced.
	HostTTL time.Duration
	// LayerTime is the time in which the weight store hands out one layer.
	LayerTime time.Duration
}

// Platform is the log and the list of hosts.
type Platform struct {
	opts    PlatformOptions
	faults  faults
	weights weights

	mu      sync.Mutex
	first   int64
	records []kept
	// grown is closed, and made anew, when a record is appended.
	grown chan struct{}
	// tokens is what is left of the append rate at refilled.
	tokens   float64
	refilled time.Time
	hosts    map[string]listed
}

type kept struct {
	record hostlog.Record
	at     time.Time
}

// listed is a host's line: the shown one, and the newest with its time.
type listed struct {
	shown  hostlog.Host
	newest hostlog.Host
	since  time.Time
	seen   time.Time
}

// NewPlatform returns an empty platform.
func NewPlatform(o PlatformOptions) *Platform {
	return &Platform{
		opts: o, weights: weights{layerTime: o.LayerTime}, first: 1, grown: make(chan struct{}),
		tokens: float64(o.AppendRate), hosts: map[string]listed{},
	}
}

// App returns the platform's HTTP server.
func (p *Platform) App() *fiber.App {
	app := newApp()
	p.faults.serve(app)
	app.Post("/v1/log", p.serveAppend)
	app.Get("/v1/log", p.serveRead)
	app.Post("/v1/hosts", p.serveAnnounce)
	app.Get("/v1/hosts", p.serveHosts)
	app.Get("/v1/weights", p.weights.serve)
	return app
}

func (p *Platform) serveAppend(c fiber.Ctx) error {
	var e hostlog.Entry
	if err := c.Bind().JSON(&e); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	offset, ok := p.append(e, time.Now())
	if !ok {
		return c.Status(fiber.StatusTooManyRequests).SendString("append rate")
	}
	if p.faults.loseAnswer() {
		return drop(c)
	}
	return c.JSON(fiber.Map{"offset": offset})
}

func (p *Platform) append(e hostlog.Entry, now time.Time) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := float64(p.opts.AppendRate)
	p.tokens = min(rate, p.tokens+rate*now.Sub(p.refilled).Seconds())
	p.refilled = now
	if p.tokens < 1 {
		return 0, false
	}
	p.tokens--
	offset := p.first + int64(len(p.records))
	p.records = append(p.records, kept{record: hostlog.Record{Offset: offset, Entry: e}, at: now})
	close(p.grown)
	p.grown = make(chan struct{})
	return offset, true
}

func (p *Platform) serveRead(c fiber.Ctx) error {
	from, _ := strconv.ParseInt(c.Query("from", "1"), 10, 64)
	limit, _ := strconv.Atoi(c.Query("limit", "100"))
	wait, _ := strconv.Atoi(c.Query("wait_ms", "0"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	page, grown := p.read(from, limit, time.Now())
	for len(page.Records) == 0 {
		select {
		case <-timer.C:
			return c.JSON(page)
		case <-grown:
			page, grown = p.read(from, limit, time.Now())
		}
	}
	return c.JSON(page)
}

func (p *Platform) read(from int64, limit int, now time.Time) (hostlog.Page, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.records) > 0 && now.Sub(p.records[0].at) > p.opts.Retain {
		p.records = p.records[1:]
		p.first++
	}
	from = max(from, p.first)
	start := min(int(from-p.first), len(p.records))
	end := min(start+limit, len(p.records))
	page := hostlog.Page{First: p.first, Next: p.first + int64(end), Records: []hostlog.Record{}}
	for _, k := range p.records[start:end] {
		page.Records = append(page.Records, k.record)
	}
	return page, p.grown
}

func (p *Platform) serveAnnounce(c fiber.Ctx) error {
	var h hostlog.Host
	if err := c.Bind().JSON(&h); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	p.announce(h, time.Now())
	return c.SendStatus(fiber.StatusNoContent)
}

func (p *Platform) announce(h hostlog.Host, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.hosts[h.Name]
	if l.newest.State != h.State || l.newest.Incarnation != h.Incarnation {
		l.shown = p.shown(l, now)
		l.newest = h
		l.since = now
	}
	l.seen = now
	p.hosts[h.Name] = l
}

func (p *Platform) shown(l listed, now time.Time) hostlog.Host {
	if now.Sub(l.since) >= p.opts.HostLag {
		return l.newest
	}
	return l.shown
}

func (p *Platform) serveHosts(c fiber.Ctx) error {
	body, err := json.Marshal(fiber.Map{"hosts": p.list(time.Now())})
	if err != nil {
		return err
	}
	tag := fmt.Sprintf(`"%x"`, xxhash.Sum64(body))
	c.Set(fiber.HeaderETag, tag)
	if c.Get(fiber.HeaderIfNoneMatch) == tag {
		return c.SendStatus(fiber.StatusNotModified)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

func (p *Platform) list(now time.Time) []hostlog.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := []hostlog.Host{}
	for _, name := range slices.Sorted(maps.Keys(p.hosts)) {
		l := p.hosts[name]
		if now.Sub(l.seen) > p.opts.HostTTL {
			continue
		}
		if h := p.shown(l, now); h.Name != "" {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
