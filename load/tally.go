package load

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushshed/history"
	"bulrushshed/jsonhttp"
	"bulrushshed/outcome"
)

const (
	minLatency = 1
	// maxLatency is in microseconds, as all latencies of a tally.
	maxLatency = 10 * 60 * 1_000_000
	digits     = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minLatency, maxLatency, digits) }

// record keeps a latency; one beyond the bound counts as the bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value inside the bounds is always taken.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

// tally counts what became of requests; it is safe for concurrent use.
type tally struct {
	mu sync.Mutex

	streams, whole, restarted, refused, cut int
	checks, checked                         int
	wrong                                   []string
	// callKinds counts non-idempotent calls by what became of them; keys are
	// all the keys that they used.
	callKinds map[outcome.Kind]int
	keys      []history.Call

	first, between, answer, callTime, checkTime *hdrhistogram.Histogram
	longestGap                                  time.Duration
	// restarts says why completions were asked for again.
	restarts []string
	// longest are the longest gaps of all streams.
	longest []time.Duration
}

// stallFactor is how many times the median gap between tokens a stream's
// longest gap is at least, if it counts as stalled.
const stallFactor = 5

// stalls returns the longest gaps of the streams that stalled.
func (t *tally) stalls() (n int, l Latency) {
	h := newHistogram()
	median := time.Duration(t.between.ValueAtQuantile(50)) * time.Microsecond
	for _, g := range t.longest {
		if g > stallFactor*median {
			record(h, g)
			n++
		}
	}
	return n, latency(h)
}

func newTally() *tally {
	return &tally{
		callKinds: map[outcome.Kind]int{},
		first:     newHistogram(), between: newHistogram(), answer: newHistogram(),
		callTime: newHistogram(), checkTime: newHistogram(),
	}
}

func (t *tally) key(c history.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys = append(t.keys, c)
}

func (t *tally) call(kind outcome.Kind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callKinds[kind]++
	if kind == outcome.Answered {
		record(t.callTime, took)
	}
}

func (t *tally) callCount() int {
	n := 0
	for _, k := range t.callKinds {
		n += k
	}
	return n
}

func (t *tally) check(ok bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checks++
	if ok {
		t.checked++
		record(t.checkTime, took)
	}
}

func (t *tally) stream(s *stream, sends int, cause, wrong string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams++
	if wrong != "" {
		t.wrong = append(t.wrong, wrong)
	}
	switch {
	case s.whole:
		t.whole++
		record(t.answer, took)
	case s.refused == outcome.NotRun:
		t.refused++
	default:
		t.cut++
	}
	if sends > 1 && s.whole {
		t.restarted++
		t.restarts = append(t.restarts, cause)
	}
	if len(s.tokens) > 0 {
		record(t.first, s.first)
	}
	longest := time.Duration(0)
	for _, g := range s.gaps {
		record(t.between, g)
		longest = max(longest, g)
	}
	t.longestGap = max(t.longestGap, longest)
	t.longest = append(t.longest, longest)
}

func (t *tally) line(since time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%3.0fs  completions %d whole %d refused %d cut %d | calls %d | checks %d/%d | longest gap %s",
		since.Seconds(), t.streams, t.whole, t.refused, t.cut, t.callCount(), t.checked, t.checks, t.longestGap.Round(time.Millisecond))
}

// Latency sums up a distribution, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// Report is what came of a load.
type Report struct {
	Sent int `json:"sent"`
	// Whole counts whole answers of all kinds of requests.
	Whole   int `json:"whole"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Restarted counts completions that their callers had to ask for again.
	Restarted int `json:"restarted"`
	// Restarts says why, each time.
	Restarts    []string           `json:"restarts"`
	TokensWrong []string           `json:"tokens_wrong"`
	Calls       history.CallReport `json:"calls"`
	// Checked is whether executions were there to hold the calls against.
	Checked      bool    `json:"checked"`
	FirstToken   Latency `json:"first_token"`
	Between      Latency `json:"between_tokens"`
	Answer       Latency `json:"answer"`
	Call         Latency `json:"call"`
	Check        Latency `json:"check"`
	LongestGapMS float64 `json:"longest_gap_ms"`
	// Stalled counts the streams with a gap far beyond the median, and Stall
	// sums up those gaps.
	Stalled int     `json:"stalled"`
	Stall   Latency `json:"stall"`
}

// Broken reports whether a promise was broken.
func (r Report) Broken() bool { return len(r.TokensWrong) > 0 || r.Calls.Broken() }

func (t *tally) report(o Options) (Report, error) {
	executions, err := fetchExecutions(o.Executions)
	t.mu.Lock()
	defer t.mu.Unlock()
	stalled, stall := t.stalls()
	calls := history.CheckCalls(t.keys, executions)
	if len(o.Executions) == 0 {
		// Without executions, nothing is known of what ran.
		calls.FalseNotRun, calls.Phantom = nil, nil
	}
	return Report{
		Sent:        t.streams + t.checks + t.callCount(),
		Whole:       t.whole + t.checked + t.callKinds[outcome.Answered],
		NotRun:      t.refused + t.callKinds[outcome.NotRun],
		Unknown:     t.cut + (t.checks - t.checked) + t.callKinds[outcome.Unknown],
		Restarted:   t.restarted,
		Restarts:    t.restarts,
		TokensWrong: t.wrong, Calls: calls, Checked: len(o.Executions) > 0 && err == nil,
		FirstToken: latency(t.first), Between: latency(t.between), Answer: latency(t.answer),
		Call: latency(t.callTime), Check: latency(t.checkTime),
		LongestGapMS: float64(t.longestGap.Microseconds()) / 1000,
		Stalled:      stalled, Stall: stall,
	}, err
}

func fetchExecutions(addresses []string) ([]history.Execution, error) {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	var all []history.Execution
	for _, a := range addresses {
		var some []history.Execution
		r := jsonhttp.Request{Method: http.MethodGet, URL: "http://" + a + "/executions", Timeout: 10 * time.Second}
		if err := client.Call(r, nil, &some); err != nil {
			return all, err
		}
		for _, e := range some {
			if e.Key != "" {
				all = append(all, e)
			}
		}
	}
	return all, nil
}
