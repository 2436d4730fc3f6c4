package meter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bulrushshed/outcome"
)

// overflowLabel replaces the names beyond the bound.
const overflowLabel = "other"

// labelLimiter bounds the number of distinct values of a label.
type labelLimiter struct {
	mu        sync.Mutex
	maxLabels int
	seen      map[string]bool
}

// limit returns name if it is among the first maxLabels distinct names, and
// overflowLabel otherwise.
func (n *labelLimiter) limit(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen[name] {
		return name
	}
	if len(n.seen) >= n.maxLabels {
		return overflowLabel
	}
	n.seen[name] = true
	return name
}

// Meter records the metrics of one host. It is safe for concurrent use.
type Meter struct {
	set       *metrics.Set
	customers labelLimiter
	classes   labelLimiter
	services  labelLimiter
}

// New returns a meter with at most the given numbers of distinct customer and
// class labels. The bound of the classes applies to services, too.
func New(customers, classes int) *Meter {
	return &Meter{
		set:       metrics.NewSet(),
		customers: labelLimiter{maxLabels: customers, seen: map[string]bool{}},
		classes:   labelLimiter{maxLabels: classes, seen: map[string]bool{}},
		services:  labelLimiter{maxLabels: classes, seen: map[string]bool{}},
	}
}

// Write writes all metrics to w in the Prometheus text format.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }

// Gauge registers a gauge whose value is read at each Write.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

func (m *Meter) observe(name, customer, class string, took time.Duration) {
	byCustomer := fmt.Sprintf(`%s{customer=%q}`, name, m.customers.limit(customer))
	byClass := fmt.Sprintf(`%s{class=%q}`, name, m.classes.limit(class))
	m.set.GetOrCreateHistogram(byCustomer).Update(took.Seconds())
	m.set.GetOrCreateHistogram(byClass).Update(took.Seconds())
}

func (m *Meter) count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q}`, name, label, value)).Inc()
}

// RequestDone counts a request by its outcome. It records the duration of
// answered requests and the cause of the others.
func (m *Meter) RequestDone(customer, class string, kind outcome.Kind, cause outcome.Cause, took time.Duration) {
	m.count("bulrushshed_requests_total", "kind", string(kind))
	if kind == outcome.Answered {
		m.observe("bulrushshed_answer_seconds", customer, class, took)
		return
	}
	m.count("bulrushshed_failures_total", "cause", string(cause))
}

// Refused counts a request of a caller that was refused, or whose connection was closed,
// for its cost to the host.
func (m *Meter) Refused(cause string) { m.count("bulrushshed_refusals_total", "cause", cause) }

// FirstToken records the time to the first token.
func (m *Meter) FirstToken(customer, class string, took time.Duration) {
	m.observe("bulrushshed_first_token_seconds", customer, class, took)
}

// BetweenTokens records the time between two consecutive tokens.
func (m *Meter) BetweenTokens(customer, class string, took time.Duration) {
	m.observe("bulrushshed_between_tokens_seconds", customer, class, took)
}

// Queued records how long a request waited in the admission queue, by class.
func (m *Meter) Queued(class string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`bulrushshed_queue_seconds{class=%q}`, m.classes.limit(class))).Update(took.Seconds())
}

// CountTokens counts what happened to tokens of the retry budget of a service.
func (m *Meter) CountTokens(service, event string, tokens float64) {
	m.set.GetOrCreateFloatCounter(fmt.Sprintf(`bulrushshed_retry_tokens_total{service=%q,event=%q}`, m.services.limit(service), event)).Add(tokens)
}

// Resumed counts a stream that is to continue in another attempt or on another
// path through the engines, by cause.
func (m *Meter) Resumed(cause string) { m.count("bulrushshed_resumes_total", "cause", cause) }

// Dropped counts an event of an engine that was discarded because it repeated a
// token's position or belonged to another request or attempt.
func (m *Meter) Dropped() { m.set.GetOrCreateCounter("bulrushshed_events_dropped_total").Inc() }

// Hedged counts a call that was also sent to a second replica because the first
// one was slow.
func (m *Meter) Hedged(class string) {
	m.count("bulrushshed_hedges_total", "class", m.classes.limit(class))
}

// ConnectionClosed counts a connection that was closed for a cause other than its client.
func (m *Meter) ConnectionClosed(cause string) {
	m.count("bulrushshed_connections_closed_total", "cause", cause)
}

// UsageReport counts a report of the use of engines that was sent to or received from one
// host, by direction.
func (m *Meter) UsageReport(direction string) {
	m.count("bulrushshed_usage_reports_total", "direction", direction)
}

// UsageBytes counts the bytes of the reports that were sent.
func (m *Meter) UsageBytes(n int) {
	m.set.GetOrCreateCounter("bulrushshed_usage_sent_bytes_total").Add(n)
}

// UsageFinding counts a finding of another host about an engine, by its kind, or as ignored.
func (m *Meter) UsageFinding(kind string) { m.count("bulrushshed_usage_findings_total", "kind", kind) }

// Retried counts a call that was retried at another replica.
func (m *Meter) Retried(class string) {
	m.count("bulrushshed_retries_total", "class", m.classes.limit(class))
}
