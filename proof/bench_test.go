package proof_test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushshed/caller"
	"bulrushshed/jsonhttp"
)

// memory returns the resident memory of a process in megabytes.
func memory(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		b.Fatal(err)
	}
	return float64(kb) / 1024
}

// processorTime returns the processor time of a process in seconds.
func processorTime(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	const ticks = 100
	return float64(user+system) / ticks
}

// ioBytes returns how many bytes a process has read and written so far by plain
// calls, which leaves QUIC out.
func ioBytes(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		b.Fatal(err)
	}
	var read, written float64
	if _, err := fmt.Sscanf(string(text), "rchar: %f\nwchar: %f", &read, &written); err != nil {
		b.Fatal(err)
	}
	return read + written
}

// BenchmarkStreams opens 1,000 streams through one entry host at a time and
// prints what they cost it.
func BenchmarkStreams(b *testing.B) {
	const streams = 1000
	engines := []engineSpec{
		{"fast-1", "a", "0-40", 200 * time.Microsecond},
		{"fast-2", "b", "40-80", 200 * time.Microsecond},
		{"slow-1", "c", "0-40", 200 * time.Microsecond},
		{"slow-2", "a", "40-80", 200 * time.Microsecond},
	}
	c := newCluster(b, 1, 1, engines, "-slots", "1000", "-stage-timeout", "5s")
	pid := c.procs["entry-1"].Process.Pid
	idle := memory(b, pid)
	for b.Loop() {
		before := processorTime(b, pid)
		client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
		var all sync.WaitGroup
		var mu sync.Mutex
		whole, most := 0, 0.0
		start := time.Now()
		for n := range streams {
			all.Go(func() {
				resp, err := client.Exchange(b.Context(), jsonhttp.Request{
					Method: http.MethodPost, URL: "http://" + c.caller(1) + "/v1/completions", Timeout: patience,
					Headers: map[string]string{caller.HeaderCustomer: "puebla"},
					Body:    fmt.Appendf(nil, `{"model":"assistant","prompt":"p%d","max_tokens":20}`, n),
				})
				mu.Lock()
				defer mu.Unlock()
				if err == nil && strings.HasSuffix(string(resp.Body), "data: [DONE]\n\n") {
					whole++
				}
			})
		}
		done := make(chan struct{})
		go func() {
			all.Wait()
			close(done)
		}()
		for open := true; open; {
			select {
			case <-done:
				open = false
			case <-time.After(100 * time.Millisecond):
				most = max(most, memory(b, pid))
			}
		}
		if whole != streams {
			b.Fatalf("got %d whole streams, want %d", whole, streams)
		}
		took := time.Since(start).Seconds()
		b.ReportMetric(idle, "MB-idle")
		b.ReportMetric(most, "MB-peak")
		b.ReportMetric((processorTime(b, pid)-before)/took, "cores")
		b.ReportMetric(streams*20/took, "tokens/s")
	}
}
