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

// residentMemory returns the resident set size of a process in megabytes.
func residentMemory(b *testing.B, pid int) float64 {
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

// cpuTime returns the CPU time of a process in seconds, user and system.
func cpuTime(b *testing.B, pid int) float64 {
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

// ioBytes returns the number of bytes that a process has transferred by read and
// write system calls. QUIC traffic is not included, as it uses other calls.
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

// BenchmarkStreams opens 1,000 concurrent streams through one entry host and
// reports the host's memory and CPU use.
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
	idle := residentMemory(b, pid)
	for b.Loop() {
		before := cpuTime(b, pid)
		client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
		var wg sync.WaitGroup
		var mu sync.Mutex
		complete, peak := 0, 0.0
		start := time.Now()
		for n := range streams {
			wg.Go(func() {
				resp, err := client.Exchange(b.Context(), jsonhttp.Request{
					Method: http.MethodPost, URL: "http://" + c.caller(1) + "/v1/completions", Timeout: waitTimeout,
					Headers: map[string]string{caller.HeaderCustomer: "puebla"},
					Body:    fmt.Appendf(nil, `{"model":"assistant","prompt":"p%d","max_tokens":20}`, n),
				})
				mu.Lock()
				defer mu.Unlock()
				if err == nil && strings.HasSuffix(string(resp.Body), "data: [DONE]\n\n") {
					complete++
				}
			})
		}
		done := make(chan struct{})
		go func() {
			wg.Wait()
			close(done)
		}()
		for open := true; open; {
			select {
			case <-done:
				open = false
			case <-time.After(100 * time.Millisecond):
				peak = max(peak, residentMemory(b, pid))
			}
		}
		if complete != streams {
			b.Fatalf("got %d complete streams, want %d", complete, streams)
		}
		took := time.Since(start).Seconds()
		b.ReportMetric(idle, "MB-idle")
		b.ReportMetric(peak, "MB-peak")
		b.ReportMetric((cpuTime(b, pid)-before)/took, "cores")
		b.ReportMetric(streams*20/took, "tokens/s")
	}
}
