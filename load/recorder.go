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
	// maxLatency is 10 minutes. Latencies are recorded in microseconds.
	maxLatency        = 10 * 60 * 1_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
}

// recordLatency records a latency, clamped to minLatency and maxLatency.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// A value within the bounds is always accepted.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

// recorder collects the results of requests: non-idempotent calls, stock checks and
// completions. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex

	completions, complete, restarted, notRun, interrupted int
	stockChecks, stockChecksAnswered                      int
	tokenErrors                                           []string
	// callOutcomes counts non-idempotent calls by final outcome. keyedCalls holds
	// the attempts made with each key; one call may have used several keys, one
	// after another.
	callOutcomes map[outcome.Kind]int
	keyedCalls   []history.Call

	firstToken, betweenTokens, completionTime, callTime, stockCheckTime *hdrhistogram.Histogram
	longestGap                                                          time.Duration
	// restartCauses holds the reasons why completions were requested again.
	restartCauses []string
	// longestGaps holds the longest gap of each stream.
	longestGaps []time.Duration
}

// stallFactor is the multiple of the median gap between tokens that the longest
// gap of a stream must exceed for the stream to count as stalled.
const stallFactor = 5

// stalls returns the number of stalled streams and the distribution of their longest
// gaps.
func (r *recorder) stalls() (n int, l Latency) {
	h := newHistogram()
	median := time.Duration(r.betweenTokens.ValueAtQuantile(50)) * time.Microsecond
	for _, g := range r.longestGaps {
		if g > stallFactor*median {
			recordLatency(h, g)
			n++
		}
	}
	return n, latency(h)
}

func newRecorder() *recorder {
	return &recorder{
		callOutcomes: map[outcome.Kind]int{},
		firstToken:   newHistogram(), betweenTokens: newHistogram(), completionTime: newHistogram(),
		callTime: newHistogram(), stockCheckTime: newHistogram(),
	}
}

func (r *recorder) recordKeyedCall(c history.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keyedCalls = append(r.keyedCalls, c)
}

func (r *recorder) recordCall(kind outcome.Kind, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callOutcomes[kind]++
	if kind == outcome.Answered {
		recordLatency(r.callTime, took)
	}
}

func (r *recorder) callCount() int {
	n := 0
	for _, k := range r.callOutcomes {
		n += k
	}
	return n
}

func (r *recorder) recordStockCheck(ok bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stockChecks++
	if ok {
		r.stockChecksAnswered++
		recordLatency(r.stockCheckTime, took)
	}
}

func (r *recorder) recordStream(s *stream, attempts int, cause, tokenError string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completions++
	if tokenError != "" {
		r.tokenErrors = append(r.tokenErrors, tokenError)
	}
	switch {
	case s.complete:
		r.complete++
		recordLatency(r.completionTime, took)
	case s.rejection == outcome.NotRun:
		r.notRun++
	default:
		r.interrupted++
	}
	if attempts > 1 && s.complete {
		r.restarted++
		r.restartCauses = append(r.restartCauses, cause)
	}
	if len(s.tokens) > 0 {
		recordLatency(r.firstToken, s.firstTokenLatency)
	}
	longest := time.Duration(0)
	for _, g := range s.gaps {
		recordLatency(r.betweenTokens, g)
		longest = max(longest, g)
	}
	r.longestGap = max(r.longestGap, longest)
	r.longestGaps = append(r.longestGaps, longest)
}

func (r *recorder) progressLine(elapsed time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%3.0fs  completions %d complete %d rejected %d interrupted %d | calls %d | checks %d/%d | longest gap %s",
		elapsed.Seconds(), r.completions, r.complete, r.notRun, r.interrupted, r.callCount(), r.stockChecksAnswered, r.stockChecks, r.longestGap.Round(time.Millisecond))
}

// Latency holds the percentiles of a distribution, in milliseconds.
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

// Report holds the results of a load.
type Report struct {
	Sent int `json:"sent"`
	// Complete counts the complete responses to requests of all kinds.
	Complete int `json:"whole"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Restarted counts the completions that were complete only after their
	// callers had requested them again.
	Restarted int `json:"restarted"`
	// RestartCauses holds the reason of each restart.
	RestartCauses []string           `json:"restarts"`
	TokenErrors   []string           `json:"tokens_wrong"`
	Calls         history.CallReport `json:"calls"`
	// CallsChecked is set if the calls were checked against executions.
	CallsChecked bool `json:"checked"`
	// The latencies of tokens, completions, non-idempotent calls and stock checks.
	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`
	Completion    Latency `json:"answer"`
	Call          Latency `json:"call"`
	StockCheck    Latency `json:"check"`
	LongestGapMS  float64 `json:"longest_gap_ms"`
	// Stalled counts the streams with a gap of more than stallFactor times the
	// median, and Stall is the distribution of those gaps.
	Stalled int     `json:"stalled"`
	Stall   Latency `json:"stall"`
}

// HasViolations reports whether an invariant was violated.
func (r Report) HasViolations() bool { return len(r.TokenErrors) > 0 || r.Calls.HasViolations() }

func (r *recorder) report(o Options) (Report, error) {
	executions, err := fetchExecutions(o.ServiceAddresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	stalled, stall := r.stalls()
	calls := history.CheckCalls(r.keyedCalls, executions)
	if len(o.ServiceAddresses) == 0 {
		// Without executions, these two can't be determined.
		calls.FalseNotRun, calls.AnsweredNotRun = nil, nil
	}
	return Report{
		Sent:          r.completions + r.stockChecks + r.callCount(),
		Complete:      r.complete + r.stockChecksAnswered + r.callOutcomes[outcome.Answered],
		NotRun:        r.notRun + r.callOutcomes[outcome.NotRun],
		Unknown:       r.interrupted + (r.stockChecks - r.stockChecksAnswered) + r.callOutcomes[outcome.Unknown],
		Restarted:     r.restarted,
		RestartCauses: r.restartCauses,
		TokenErrors:   r.tokenErrors, Calls: calls, CallsChecked: len(o.ServiceAddresses) > 0 && err == nil,
		FirstToken: latency(r.firstToken), BetweenTokens: latency(r.betweenTokens), Completion: latency(r.completionTime),
		Call: latency(r.callTime), StockCheck: latency(r.stockCheckTime),
		LongestGapMS: float64(r.longestGap.Microseconds()) / 1000,
		Stalled:      stalled, Stall: stall,
	}, err
}

func fetchExecutions(services []string) ([]history.Execution, error) {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	var executions []history.Execution
	for _, a := range services {
		var batch []history.Execution
		r := jsonhttp.Request{Method: http.MethodGet, URL: "http://" + a + "/executions", Timeout: 10 * time.Second}
		if err := client.Call(r, nil, &batch); err != nil {
			return executions, err
		}
		for _, e := range batch {
			if e.Key != "" {
				executions = append(executions, e)
			}
		}
	}
	return executions, nil
}
