package proof_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bulrushshed/jsonhttp"
	"bulrushshed/keys"
	"bulrushshed/load"
	"bulrushshed/operator"
	"bulrushshed/platformhttp"
	"bulrushshed/publication"
	"bulrushshed/rule"
	"bulrushshed/settings"
	"bulrushshed/standin"
)

// binDir is the directory of the compiled binaries.
var binDir string

var discardLogger = slog.New(slog.DiscardHandler)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bulrushshed")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "bulrushshed/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// subnets is the number of clusters started, each of which uses a loopback subnet
// of its own.
var subnets atomic.Int32

// firstSubnet is the base of the subnet numbers, 127.x.0.0/16.
const firstSubnet = 20

// waitTimeout is the timeout for conditions that must eventually hold. It is not
// a performance target.
const waitTimeout = 60 * time.Second

const baseRules = `
model name=assistant version=v1 layers=80 objective=recovery deadline=30s # head office: crews depend on drafts in time
class path=/dispatch/* service=dispatch idempotent=no deadline=5s priority=high # R. Vega: a dispatch must not be executed twice
class path=/stock/* service=stock idempotent=yes deadline=2s # R. Vega: stock checks may be repeated
`

const modelLayers = 80

// cluster is a complete deployment of separate processes: a platform, entry
// hosts, engines and service replicas.
type cluster struct {
	t       testing.TB
	subnet  int32
	dir     string
	ca      keys.Pair
	procs   map[string]*exec.Cmd
	entries int
	engines []engineSpec
	// engineFlags are additional command-line flags for all engines.
	engineFlags []string
	// version is the last version of the rules that the test published.
	version rule.Version
	// services is the number of service replicas.
	services int
}

// engineSpec configures one engine of a cluster.
type engineSpec struct {
	name      string
	domain    string
	layers    string
	layerTime time.Duration
}

// twoPipelines covers all layers twice, with overlapping stages.
var twoPipelines = []engineSpec{
	{"fast-1", "a", "0-48", 100 * time.Microsecond},
	{"fast-2", "b", "40-80", 100 * time.Microsecond},
	{"slow-1", "c", "0-30", 150 * time.Microsecond},
	{"slow-2", "a", "24-56", 150 * time.Microsecond},
	{"slow-3", "b", "50-80", 150 * time.Microsecond},
}

// newCluster starts a cluster, publishes baseRules if it has entry hosts, and
// waits until every entry host considers all hosts of the cluster usable.
func newCluster(t testing.TB, entries, services int, engines []engineSpec, engineFlags ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, subnet: firstSubnet + subnets.Add(1), dir: t.TempDir(), procs: map[string]*exec.Cmd{},
		entries: entries, engines: engines, engineFlags: engineFlags, services: services,
	}
	t.Cleanup(c.stopAll)
	var err error
	c.ca, err = keys.NewCA(time.Now())
	c.noError(err)
	c.writeFile("ca.crt", c.ca.Cert)
	c.startPlatform()
	for n := 1; n <= services; n++ {
		c.startService(n)
	}
	for n := range engines {
		c.startEngine(n)
	}
	for n := 1; n <= entries; n++ {
		c.startEntry(n)
	}
	if entries > 0 {
		c.version = c.publish(0, baseRules)
	}
	c.eventually("all entry hosts consider all hosts usable", c.allHostsUsable)
	return c
}

func (c *cluster) allHostsUsable() bool {
	for n := 1; n <= c.entries; n++ {
		if !c.allUsableFrom(n) {
			return false
		}
	}
	return true
}

func (c *cluster) noError(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) writeFile(name string, text []byte) string {
	path := filepath.Join(c.dir, name)
	c.noError(os.WriteFile(path, text, 0o600))
	return path
}

// ip returns the IP address of the nth host with a role.
func (c *cluster) ip(role, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.subnet, role, n) }

const (
	rolePlatform = iota
	roleEntry
	roleEngine
	roleService
)

// These methods return the URL of the platform, and the addresses of the nth
// entry host for callers, operators and peers, of an engine by its index, and of
// the nth service replica.

func (c *cluster) platformURL() string          { return "http://" + c.ip(rolePlatform, 1) + ":9000" }
func (c *cluster) caller(n int) string          { return c.ip(roleEntry, n) + ":8080" }
func (c *cluster) operatorAddress(n int) string { return c.ip(roleEntry, n) + ":8081" }
func (c *cluster) peer(n int) string            { return c.ip(roleEntry, n) + ":8082" }
func (c *cluster) engineAddress(n int) string   { return c.ip(roleEngine, n+1) + ":9100" }
func (c *cluster) serviceAddress(n int) string  { return c.ip(roleService, n) + ":9200" }
func (c *cluster) logClient() *platformhttp.Client {
	return platformhttp.NewClient(c.platformURL(), 5*time.Second)
}

// start runs a program and appends its output to the log file of that name.
func (c *cluster) start(name, program string, args ...string) {
	c.t.Helper()
	file, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.noError(err)
	defer func() { _ = file.Close() }()
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	cmd.Stdout, cmd.Stderr = file, file
	c.noError(cmd.Start())
	c.procs[name] = cmd
}

func (c *cluster) startPlatform() {
	c.start("platform", "standin", "platform", "-address", c.ip(rolePlatform, 1)+":9000", "-host-lag", "500ms")
}

func (c *cluster) startService(n int) {
	c.start(fmt.Sprintf("service-%d", n), "standin", "service", "-name", fmt.Sprintf("service-%d", n),
		"-history", filepath.Join(c.dir, fmt.Sprintf("service-%d.history", n)),
		"-address", c.serviceAddress(n), "-domain", string(rune('a'+n%3)), "-platform", c.platformURL())
}

func (c *cluster) startEngine(n int) {
	e := c.engines[n]
	c.start(e.name, "standin", append([]string{
		"engine", "-name", e.name, "-address", c.engineAddress(n), "-domain", e.domain,
		"-layers", e.layers, "-layer-time", e.layerTime.String(), "-platform", c.platformURL(),
	}, c.engineFlags...)...)
}

func (c *cluster) entryName(n int) string { return fmt.Sprintf("entry-%d", n) }

func (c *cluster) startEntry(n int, configure ...func(s *settings.Settings)) {
	name := c.entryName(n)
	pair, err := keys.New(c.ca, keys.RoleHost, name, []net.IP{net.ParseIP(c.ip(roleEntry, n))}, time.Now())
	c.noError(err)
	s := settings.Default()
	s.Name = name
	s.FailureDomain = string(rune('a' + n%3))
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = c.caller(n), c.operatorAddress(n), c.peer(n)
	s.PlatformURL = c.platformURL()
	s.TLS = settings.TLS{
		CAFile: filepath.Join(c.dir, "ca.crt"), CertFile: c.writeFile(name+".crt", pair.Cert), KeyFile: c.writeFile(name+".key", pair.Key),
	}
	s.Times.EntriesValid = settings.Duration(time.Second)
	for _, f := range configure {
		f(&s)
	}
	text, err := json.Marshal(s)
	c.noError(err)
	c.start(name, "bulrushd", "serve", "-settings", c.writeFile(name+".json", text))
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	c.noError(c.procs[name].Process.Signal(s))
}

// kill terminates a process with SIGKILL, to simulate a crashed host.
func (c *cluster) kill(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGKILL)
	_ = c.procs[name].Wait()
}

// suspend suspends a process with SIGSTOP, to simulate a host that hangs.
func (c *cluster) suspend(name string) { c.signal(name, syscall.SIGSTOP) }
func (c *cluster) resume(name string)  { c.signal(name, syscall.SIGCONT) }

// stop shuts a process down gracefully with SIGTERM and returns its exit code.
func (c *cluster) stop(name string) int {
	c.t.Helper()
	c.signal(name, syscall.SIGTERM)
	_ = c.procs[name].Wait()
	return c.procs[name].ProcessState.ExitCode()
}

func (c *cluster) stopAll() {
	for _, p := range c.procs {
		if p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
	if c.t.Failed() {
		c.printLogs()
	}
}

// logTail is the number of log lines printed per process when a test fails.
const logTail = 15

func (c *cluster) printLogs() {
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, f := range files {
		lines := strings.Split(c.readLog(strings.TrimSuffix(filepath.Base(f), ".log")), "\n")
		c.t.Logf("%s:\n%s", filepath.Base(f), strings.Join(lines[max(0, len(lines)-logTail):], "\n"))
	}
}

func (c *cluster) readLog(name string) string {
	text, _ := os.ReadFile(filepath.Join(c.dir, name+".log"))
	return string(text)
}

// injectFault configures the faults of a test server.
func (c *cluster) injectFault(url string, f standin.Fault) {
	c.t.Helper()
	c.noError(c.post(url+"/fault", f))
}

func (c *cluster) post(url string, in any) error {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	return client.Call(jsonhttp.Request{Method: http.MethodPost, URL: url, Timeout: waitTimeout}, in, nil)
}

func (c *cluster) get(url string, out any) error {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	return client.Call(jsonhttp.Request{Method: http.MethodGet, URL: url, Timeout: 2 * time.Second}, nil, out)
}

func (c *cluster) status(n int) (operator.Status, error) {
	var s operator.Status
	err := c.get("http://"+c.operatorAddress(n)+"/v1/status", &s)
	return s, err
}

// allUsableFrom reports whether an entry host has rules and considers all hosts
// of the cluster usable.
func (c *cluster) allUsableFrom(n int) bool {
	s, err := c.status(n)
	if err != nil || s.Rules.Version == 0 {
		return false
	}
	usable := 0
	for _, h := range s.Hosts {
		if !h.Leaving && !h.Suspected && (h.Reporting || h.Role != "engine") {
			usable++
		}
	}
	return usable >= c.entries+c.services+len(c.engines)
}

func (c *cluster) publish(base rule.Version, text string) rule.Version {
	c.t.Helper()
	var v rule.Version
	c.eventually("the log accepts a publication", func() bool {
		var err error
		p := rule.Publication{ID: publication.NewID(), Base: base, Author: "test", Text: text}
		v, err = publication.Publish(c.logClient(), p, 100*time.Millisecond, 20)
		var e *publication.Error
		if errors.As(err, &e) && e.Kind == publication.KindConflict {
			c.t.Fatal(err)
		}
		return err == nil
	})
	return v
}

// eventually waits until holds returns true, and fails the test if it does not
// within the timeout.
func (c *cluster) eventually(condition string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting for the condition: %s", condition)
		}
	}
}

// mixedLoad returns the options of a load of calls, stock checks and completions
// on all entry hosts, with a fixed random seed.
func (c *cluster) mixedLoad(rate float64, d time.Duration) load.Options {
	o := load.Options{
		Rate: rate, Duration: d, Calls: 0.6, StockChecks: 0.1, CallPath: "/dispatch/confirm", StockCheckPath: "/stock/pallets",
		Model: "assistant", MaxTokens: 10, Customers: []string{"puebla", "toluca", "mohacs"},
		Timeout: 20 * time.Second, Layers: modelLayers, Versions: []string{"v1"}, RandomSeed: 1,
	}
	for n := 1; n <= c.entries; n++ {
		o.Seeds = append(o.Seeds, c.caller(n))
	}
	for n := 1; n <= c.services; n++ {
		o.ServiceAddresses = append(o.ServiceAddresses, c.serviceAddress(n))
	}
	return o
}

// schedule lists actions to perform on a cluster under load, in order of time.
type schedule []scheduledAction

// scheduledAction is an action and its time after the start of the load.
type scheduledAction struct {
	at     time.Duration
	action func()
}

// runLoad runs a load, performs the scheduled actions concurrently, and returns
// the report.
func (c *cluster) runLoad(o load.Options, s schedule) load.Report {
	c.t.Helper()
	type result struct {
		r   load.Report
		err error
	}
	done := make(chan result, 1)
	go func() {
		r, err := load.Run(c.t.Context(), o)
		done <- result{r, err}
	}()
	start := time.Now()
	for _, e := range s {
		time.Sleep(time.Until(start.Add(e.at)))
		e.action()
	}
	got := <-done
	c.noError(got.err)
	c.t.Logf("sent %d, complete %d, not run %d, unknown %d, restarted %d; calls %d, answered %d, unknown %d; longest gap between tokens %.0f ms",
		got.r.Sent, got.r.Complete, got.r.NotRun, got.r.Unknown, got.r.Restarted,
		got.r.Calls.Total, got.r.Calls.Answered, got.r.Calls.Unknown, got.r.LongestGapMS)
	for _, cause := range got.r.RestartCauses {
		c.t.Logf("restarted by the caller: %s", cause)
	}
	c.t.Logf("attempts without an answer, by kind and cause: %v", c.unansweredByCause())
	return got.r
}

// unansweredByCause counts the attempts that entry hosts logged as unanswered,
// by error kind and cause.
func (c *cluster) unansweredByCause() map[string]int {
	counts := map[string]int{}
	for n := 1; n <= c.entries; n++ {
		for _, line := range strings.Split(c.readLog(c.entryName(n)), "\n") {
			var l struct {
				Msg, Kind, Cause string
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "caller: no answer" {
				counts[l.Kind+"/"+l.Cause]++
			}
		}
	}
	return counts
}
