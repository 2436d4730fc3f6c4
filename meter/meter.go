package meter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bulrushshed/outcome"
)

// other stands for all names beyond the bound.
const other = "other"

// names hands out at most limit names as labels.
type names struct {
	mu    sync.Mutex
	limit int
	seen  map[string]bool
}

func (n *names) label(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen[name] {
		return name
	}
	if len(n.seen) >= n.limit {
		return other
	}
	n.seen[name] = true
	return name
}

// Meter is safe for concurrent use.
type Meter struct {
	set       *metrics.Set
	customers names
	classes   names
}

// New returns a meter that tells up to so many customers and classes apart.
func New(customers, classes int) *Meter {
	return &Meter{
		set:       metrics.NewSet(),
		customers: names{limit: customers, seen: map[string]bool{}},
		classes:   names{limit: classes, seen: map[string]bool{}},
	}
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }

// Gauge registers a value that is read at each Write.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

func (m *Meter) observe(name, customer, class string, took time.Duration) {
	byCustomer := fmt.Sprintf(`%s{customer=%q}`, name, m.customers.label(customer))
	byClass := fmt.Sprintf(`%s{class=%q}`, name, m.classes.label(class))
	m.set.GetOrCreateHistogram(byCustomer).Update(took.Seconds())
	m.set.GetOrCreateHistogram(byClass).Update(took.Seconds())
}

func (m *Meter) count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q}`, name, label, value)).Inc()
}

// Answered counts the end of a request.
func (m *Meter) Answered(customer, class string, kind outcome.Kind, cause outcome.Cause, took time.Duration) {
	m.count("bulrushshed_requests_total", "kind", string(kind))
	if kind == outcome.Answered {
		m.observe("bulrushshed_answer_seconds", customer, class, took)
		return
	}
	m.count("bulrushshed_failures_total", "cause", string(cause))
}

// FirstToken records the time to the first token.
func (m *Meter) FirstToken(customer, class string, took time.Duration) {
	m.observe("bulrushshed_first_token_seconds", customer, class, took)
}

// BetweenTokens records the time between two tokens.
func (m *Meter) BetweenTokens(customer, class string, took time.Duration) {
	m.observe("bulrushshed_between_tokens_seconds", customer, class, took)
}

// Queued records the wait of a request for its place, by class.
func (m *Meter) Queued(class string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bulrushshed_queue_seconds{class=%q}`, m.classes.label(class))).Update(took.Seconds())
}

// Resumed counts an attempt that failed, by cause.
func (m *Meter) Resumed(cause string) { m.count("bulrushshed_resumes_total", "cause", cause) }

// Dropped counts a late or crossed event.
func (m *Meter) Dropped() { m.set.GetOrCreateCounter("bulrushshed_events_dropped_total").Inc() }

// Hedged counts a call that was sent to a second replica beside a slow one.
func (m *Meter) Hedged(class string) {
	m.count("bulrushshed_hedges_total", "class", m.classes.label(class))
}

// Retried counts a call that was tried at another replica.
func (m *Meter) Retried(class string) {
	m.count("bulrushshed_retries_total", "class", m.classes.label(class))
}
