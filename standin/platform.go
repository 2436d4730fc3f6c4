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

// PlatformOptions configures a [Platform].
type PlatformOptions struct {
	// AppendRate is the maximum number of log appends per second.
	AppendRate int
	// Retention is the retention period of log records.
	Retention time.Duration
	// HostListDelay is the delay before a change is visible in the host list.
	HostListDelay time.Duration
	// HostTTL is the time after its last announcement for which a host stays
	// on the host list.
	HostTTL time.Duration
	// LayerTime is the time that the weight store takes to serve one layer.
	LayerTime time.Duration
}

// Platform is a test platform: the shared log, the host list and the weight
// store.
type Platform struct {
	opts    PlatformOptions
	faults  faultInjector
	weights weightStore

	mu sync.Mutex
	// era counts the histories of the log: each restore begins a new one.
	era         int64
	firstOffset int64
	records     []storedRecord
	// appended is closed and replaced when a record is appended.
	appended chan struct{}
	// appendTokens is the content of the token bucket that limits appends, as of
	// refilledAt.
	appendTokens float64
	refilledAt   time.Time
	hosts        map[string]hostEntry
}

// storedRecord is a log record with the time of its append.
type storedRecord struct {
	record hostlog.Record
	at     time.Time
}

// hostEntry is the state of one host on the host list. A change of it is listed
// HostListDelay after it was announced.
type hostEntry struct {
	// previous is the entry to list until latest may be listed.
	previous hostlog.Host
	// latest is the entry of the last change, and latestAt the time of it.
	latest   hostlog.Host
	latestAt time.Time
	// announcedAt is the time of the last announcement.
	announcedAt time.Time
}

// NewPlatform returns a platform with an empty log and host list.
func NewPlatform(o PlatformOptions) *Platform {
	return &Platform{
		opts: o, weights: weightStore{layerTime: o.LayerTime}, era: 1, firstOffset: 1, appended: make(chan struct{}),
		appendTokens: float64(o.AppendRate), hosts: map[string]hostEntry{},
	}
}

// App returns the platform's HTTP application.
func (p *Platform) App() *fiber.App {
	app := newApp()
	p.faults.register(app)
	app.Use(p.setEra)
	app.Post("/restore", p.serveRestore)
	app.Post("/v1/log", p.serveAppend)
	app.Get("/v1/log", p.serveRead)
	app.Post("/v1/hosts", p.serveAnnounce)
	app.Get("/v1/hosts", p.serveHosts)
	app.Get("/v1/weights", p.weights.serve)
	return app
}

// setEra adds the era of the log to a response, as of its end.
func (p *Platform) setEra(c fiber.Ctx) error {
	err := c.Next()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Set("Store-Era", strconv.FormatInt(p.era, 10))
	return err
}

// serveRestore restores the log from a backup that is age_ms old.
func (p *Platform) serveRestore(c fiber.Ctx) error {
	age, err := strconv.Atoi(c.Query("age_ms"))
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	p.Restore(time.Duration(age)*time.Millisecond, time.Now())
	return c.SendStatus(fiber.StatusNoContent)
}

// Restore takes the log back to what it held at an earlier time, and begins a new era.
func (p *Platform) Restore(age time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.records = slices.DeleteFunc(p.records, func(r storedRecord) bool { return now.Sub(r.at) < age })
	close(p.appended)
	p.appended = make(chan struct{})
}

func (p *Platform) serveAppend(c fiber.Ctx) error {
	var e hostlog.Entry
	if err := c.Bind().JSON(&e); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	offset, ok := p.append(e, time.Now())
	if !ok {
		return c.Status(fiber.StatusTooManyRequests).SendString("append rate exceeded")
	}
	if p.faults.consumeResponseDrop() {
		return closeConnection(c)
	}
	return c.JSON(fiber.Map{"offset": offset})
}

// append adds an entry to the log and returns its offset, or false if the append
// rate is exceeded.
func (p *Platform) append(e hostlog.Entry, now time.Time) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := float64(p.opts.AppendRate)
	p.appendTokens = min(rate, p.appendTokens+rate*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
	if p.appendTokens < 1 {
		return 0, false
	}
	p.appendTokens--
	offset := p.firstOffset + int64(len(p.records))
	p.records = append(p.records, storedRecord{record: hostlog.Record{Offset: offset, Entry: e}, at: now})
	close(p.appended)
	p.appended = make(chan struct{})
	return offset, true
}

func (p *Platform) serveRead(c fiber.Ctx) error {
	from, _ := strconv.ParseInt(c.Query("from", "1"), 10, 64)
	limit, _ := strconv.Atoi(c.Query("limit", "100"))
	wait, _ := strconv.Atoi(c.Query("wait_ms", "0"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	page, appended := p.read(from, limit, time.Now())
	for len(page.Records) == 0 {
		select {
		case <-timer.C:
			return c.JSON(page)
		case <-appended:
			page, appended = p.read(from, limit, time.Now())
		}
	}
	return c.JSON(page)
}

// read drops expired records and returns a page of the remaining ones, with a
// channel that is closed at the next append.
func (p *Platform) read(from int64, limit int, now time.Time) (hostlog.Page, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.records) > 0 && now.Sub(p.records[0].at) > p.opts.Retention {
		p.records = p.records[1:]
		p.firstOffset++
	}
	from = max(from, p.firstOffset)
	start := min(int(from-p.firstOffset), len(p.records))
	end := min(start+limit, len(p.records))
	page := hostlog.Page{First: p.firstOffset, Next: p.firstOffset + int64(end), End: p.firstOffset + int64(len(p.records)), Records: []hostlog.Record{}}
	for _, stored := range p.records[start:end] {
		page.Records = append(page.Records, stored.record)
	}
	return page, p.appended
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
	entry := p.hosts[h.Name]
	if entry.latest.State != h.State || entry.latest.Incarnation != h.Incarnation {
		entry.previous = p.visible(entry, now)
		entry.latest = h
		entry.latestAt = now
	}
	entry.announcedAt = now
	p.hosts[h.Name] = entry
}

// visible returns the entry to list at the given time.
func (p *Platform) visible(entry hostEntry, now time.Time) hostlog.Host {
	if now.Sub(entry.latestAt) >= p.opts.HostListDelay {
		return entry.latest
	}
	return entry.previous
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
		entry := p.hosts[name]
		if now.Sub(entry.announcedAt) > p.opts.HostTTL {
			continue
		}
		if h := p.visible(entry, now); h.Name != "" {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
