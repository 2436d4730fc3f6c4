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

	"github.com/samber/do/v2"

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

// fleet runs many entry hosts and a platform in this process.
type fleet struct {
	b        testing.TB
	platform *platformhttp.Client
	size     int
	network  int
	// hosts are the hosts of the fleet.
	hosts []*fleetHost
}

// fleetHost is one host of a fleet. ended is closed once it has ended.
type fleetHost struct {
	stop  context.CancelFunc
	ended chan struct{}
}

// lastNetwork is the second octet of the last fleet's addresses. Each fleet has
// a loopback network of its own.
var lastNetwork = 100

func (f *fleet) address(n, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.network, 1+n/200, 1+n%200, port)
}

// domainCount returns the number of failure domains: 3 as in present deployments,
// 10 as in a large fleet.
func (f *fleet) domainCount() int {
	if f.size < 50 {
		return 3
	}
	return 10
}

// newFleet starts n hosts. configure may change what the injector of a host provides.
func newFleet(b testing.TB, n int, configure ...func(host int, i do.Injector)) *fleet {
	b.Helper()
	lastNetwork++
	f := &fleet{b: b, size: n, network: lastNetwork}
	ctx, cancel := context.WithCancel(context.Background())
	dir := b.TempDir()
	platformAddress := fmt.Sprintf("127.%d.0.1:9000", f.network)
	f.platform = platformhttp.NewClient("http://"+platformAddress, 5*time.Second)
	p := standin.NewPlatform(standin.PlatformOptions{
		AppendRate: 300, Retention: 10 * time.Minute, HostListDelay: time.Second, HostTTL: 5 * time.Second,
	})
	done := make(chan error, 1)
	go func() { done <- standin.Listen(ctx, p.App(), platformAddress) }()
	ca, err := keys.NewCA(time.Now())
	must(b, err)
	must(b, os.WriteFile(filepath.Join(dir, "ca.crt"), ca.Cert, 0o600))
	for i := range n {
		cfg := f.settings(dir, ca, i, "http://"+platformAddress)
		injector := daemon.Wire(cfg)
		for _, c := range configure {
			c(i, injector)
		}
		hostCtx, stop := context.WithCancel(ctx)
		h := &fleetHost{stop: stop, ended: make(chan struct{})}
		f.hosts = append(f.hosts, h)
		go func() {
			defer close(h.ended)
			if err := daemon.Run(hostCtx, injector); err != nil {
				b.Error(err)
			}
		}()
	}
	b.Cleanup(func() {
		cancel()
		for _, h := range f.hosts {
			<-h.ended
		}
		<-done
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
	s.FailureDomain = strconv.Itoa(n % f.domainCount())
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

func (f *fleet) peerBytes(n int) float64 {
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

// publish publishes a rule file and returns its version once the log has
// accepted it.
func (f *fleet) publish(base rule.Version, n int) rule.Version {
	p := rule.Publication{
		ID: publication.NewID(), Base: base, Author: "bench",
		Text: fmt.Sprintf("limit customer=c rate=%d burst=1 # bench: version\n", n+1),
	}
	v, err := publication.Publish(f.platform, p, 10*time.Millisecond, 100)
	must(f.b, err)
	return v
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet runs fleets of entry hosts that are idle except for rule
// changes, in 3 failure domains below 50 hosts and 10 from there. It reports
// how long a rule change takes to be active on the hosts (p99), and the CPU,
// network and memory cost per host. All hosts and the platform share this
// process, so the CPU and memory figures include the platform.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{9, 50, 100, 200} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkFleet(b, n) })
	}
}

const (
	settleTime  = 10 * time.Second
	measureTime = 10 * time.Second
	ruleChanges = 5
)

func benchmarkFleet(b *testing.B, n int) {
	var memBefore, memAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memBefore)
	f := newFleet(b, n)
	for i := range n {
		for _, ok := f.status(i); !ok; _, ok = f.status(i) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	version := f.publish(0, 0)
	time.Sleep(settleTime)
	for b.Loop() {
		cpu, sent := cpuTime(), f.peerBytes(0)+f.peerBytes(n/2)+f.peerBytes(n-1)
		time.Sleep(measureTime)
		cpu = cpuTime() - cpu
		sent = f.peerBytes(0) + f.peerBytes(n/2) + f.peerBytes(n-1) - sent
		var delays []time.Duration
		for change := range ruleChanges {
			version = f.publish(version, change+1)
			start := time.Now()
			for i := range n {
				for s, ok := f.status(i); !ok || s.Rules.Version < version; s, ok = f.status(i) {
					time.Sleep(5 * time.Millisecond)
				}
				delays = append(delays, time.Since(start))
			}
		}
		slices.Sort(delays)
		runtime.GC()
		runtime.ReadMemStats(&memAfter)
		b.ReportMetric(float64(delays[len(delays)*99/100].Milliseconds()), "ms-p99-in-force")
		b.ReportMetric(cpu.Seconds()/measureTime.Seconds()/float64(n)*100, "%core/host")
		b.ReportMetric(sent/3/measureTime.Seconds(), "peer-B/s/host")
		b.ReportMetric(float64(memAfter.HeapInuse+memAfter.StackInuse-memBefore.HeapInuse-memBefore.StackInuse)/float64(n)/(1<<20), "MB/host")
	}
}
