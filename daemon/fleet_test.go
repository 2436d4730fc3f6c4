package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"bulrushshed/daemon"
	"bulrushshed/jsonhttp"
	"bulrushshed/keys"
	"bulrushshed/operator"
	"bulrushshed/platformhttp"
	"bulrushshed/publication"
	"bulrushshed/rule"
	"bulrushshed/settings"
	"bulrushshed/standin"
)

// fleet is many entry hosts in this process, beside a platform.
type fleet struct {
	b        testing.TB
	platform *platformhttp.Client
	n        int
	net      int
}

// nets numbers the fleets of a run, so that each has addresses of its own.
var nets = 100

func (f *fleet) address(n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.net, 1+n/200, 1+n%200, port)
}

// domains is the number of failure domains: three of today, ten of a large fleet.
func (f *fleet) domains() int {
	if f.n < 50 {
		return 3
	}
	return 10
}

func newFleet(b testing.TB, n int) *fleet {
	b.Helper()
	nets++
	f := &fleet{b: b, n: n, net: nets}
	ctx, cancel := context.WithCancel(context.Background())
	dir := b.TempDir()
	platformAddress := fmt.Sprintf("127.%d.0.1:9000", f.net)
	f.platform = platformhttp.NewClient("http://"+platformAddress, 5*time.Second)
	p := standin.NewPlatform(standin.PlatformOptions{
		AppendRate: 300, Retention: 10 * time.Minute, HostListDelay: time.Second, HostTTL: 5 * time.Second,
	})
	done := make(chan error, n+1)
	go func() { done <- standin.Listen(ctx, p.App(), platformAddress) }()
	ca, err := keys.NewCA(time.Now())
	must(b, err)
	must(b, os.WriteFile(filepath.Join(dir, "ca.crt"), ca.Cert, 0o600))
	for i := range n {
		cfg := f.settings(dir, ca, i, "http://"+platformAddress)
		go func() { done <- daemon.Run(ctx, daemon.Wire(cfg)) }()
	}
	b.Cleanup(func() {
		cancel()
		for range n + 1 {
			<-done
		}
	})
	return f
}

func must(b testing.TB, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func (f *fleet) settings(dir string, ca keys.Pair, n int, platformURL string) settings.Settings {
	s := settings.Default()
	s.Name = fmt.Sprintf("entry-%d", n)
	s.FailureDomain = strconv.Itoa(n % f.domains())
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = f.address(n, 8080), f.address(n, 8081), f.address(n, 8082)
	s.PlatformURL = platformURL
	s.Log.Level = "error"
	s.Times.EntriesValid = settings.Duration(time.Millisecond)
	host, _, _ := net.SplitHostPort(s.PeerAddress)
	pair, err := keys.New(ca, keys.RoleHost, s.Name, []net.IP{net.ParseIP(host)}, time.Now())
	must(f.b, err)
	file := func(suffix string, text []byte) string {
		path := filepath.Join(dir, s.Name+suffix)
		must(f.b, os.WriteFile(path, text, 0o600))
		return path
	}
	s.TLS = settings.TLS{CAFile: filepath.Join(dir, "ca.crt"), CertFile: file(".crt", pair.Cert), KeyFile: file(".key", pair.Key)}
	return s
}

func (f *fleet) status(n int) (operator.Status, bool) {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	var s operator.Status
	err := client.Call(jsonhttp.Request{
		Method: http.MethodGet, URL: "http://" + f.address(n, 8081) + "/v1/status", Timeout: 5 * time.Second,
	}, nil, &s)
	return s, err == nil
}

func (f *fleet) bytes(n int) float64 {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	r, err := client.Do(jsonhttp.Request{
		Method: http.MethodGet, URL: "http://" + f.address(n, 8081) + "/metrics", Timeout: 5 * time.Second,
	})
	must(f.b, err)
	_, rest, _ := strings.Cut(string(r.Body), "bulrushshed_peer_bytes ")
	v, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	must(f.b, err)
	return v
}

// publish returns the version of a publication as soon as the log has it.
func (f *fleet) publish(base rule.Version, n int) rule.Version {
	p := rule.Publication{
		ID: publication.NewID(), Base: base, Author: "bench",
		Text: fmt.Sprintf("limit customer=c rate=%d burst=1 # bench: version\n", n+1),
	}
	v, err := publication.Publish(f.platform, p, 10*time.Millisecond, 100)
	must(f.b, err)
	return v
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet runs entry hosts of 10 failure domains, idle but for rule
// changes, and prints when those are in force and what a host costs. All hosts
// and the platform run in this process, so its costs are over all.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{9, 50, 100, 200} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkFleet(b, n) })
	}
}

const (
	settleTime  = 10 * time.Second
	measureTime = 10 * time.Second
	changes     = 5
)

func benchmarkFleet(b *testing.B, n int) {
	var m0, m1 runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m0)
	f := newFleet(b, n)
	for i := range n {
		for _, ok := f.status(i); !ok; _, ok = f.status(i) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	version := f.publish(0, 0)
	time.Sleep(settleTime)
	for b.Loop() {
		cpu, sent := processorTime(), f.bytes(0)+f.bytes(n/2)+f.bytes(n-1)
		time.Sleep(measureTime)
		cpu = processorTime() - cpu
		sent = f.bytes(0) + f.bytes(n/2) + f.bytes(n-1) - sent
		var late []time.Duration
		for change := range changes {
			version = f.publish(version, change+1)
			start := time.Now()
			for i := range n {
				for s, ok := f.status(i); !ok || s.Rules.Version < version; s, ok = f.status(i) {
					time.Sleep(5 * time.Millisecond)
				}
				late = append(late, time.Since(start))
			}
		}
		slices.Sort(late)
		runtime.GC()
		runtime.ReadMemStats(&m1)
		b.ReportMetric(float64(late[len(late)*99/100].Milliseconds()), "ms-p99-in-force")
		b.ReportMetric(cpu.Seconds()/measureTime.Seconds()/float64(n)*100, "%core/host")
		b.ReportMetric(sent/3/measureTime.Seconds(), "peer-B/s/host")
		b.ReportMetric(float64(m1.HeapInuse+m1.StackInuse-m0.HeapInuse-m0.StackInuse)/float64(n)/(1<<20), "MB/host")
	}
}
