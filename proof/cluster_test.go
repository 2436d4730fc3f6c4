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

// bin is the folder of the built programs.
var bin string

// discard drops logs.
var discard = slog.New(slog.DiscardHandler)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bulrushshed")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
	build := exec.Command("go", "build", "-o", dir, "bulrushshed/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// nets numbers the clusters, so that each has addresses of its own.
var nets atomic.Int32

const firstNet = 20

// patience bounds waits for conditions that must come; it is no measure.
const patience = 60 * time.Second

const rules = `
model name=assistant version=v1 layers=80 objective=recovery deadline=30s # head office: late drafts leave crews blind
class path=/dispatch/* service=dispatch idempotent=no deadline=5s priority=high # R. Vega: doubled dispatches
class path=/stock/* service=stock idempotent=yes deadline=2s # R. Vega: stock checks may be asked again
`

const layers = 80

// cluster is a whole system.
type cluster struct {
	t       testing.TB
	net     int32
	dir     string
	ca      keys.Pair
	procs   map[string]*exec.Cmd
	entries int
	engines []engineSpec
	// engineFlags are further flags of all engines.
	engineFlags []string
	// version is that of the rules at the start.
	version rule.Version
	// services is the number of service replicas.
	services int
}

// engineSpec is one engine of a cluster.
type engineSpec struct {
	name      string
	domain    string
	layers    string
	layerTime time.Duration
}

// twoPipelines hold all layers twice over, in overlapping stages.
var twoPipelines = []engineSpec{
	{"fast-1", "a", "0-48", 100 * time.Microsecond},
	{"fast-2", "b", "40-80", 100 * time.Microsecond},
	{"slow-1", "c", "0-30", 150 * time.Microsecond},
	{"slow-2", "a", "24-56", 150 * time.Microsecond},
	{"slow-3", "b", "50-80", 150 * time.Microsecond},
}

// newCluster starts a system and waits until every entry host sees all of it.
func newCluster(t testing.TB, entries, services int, engines []engineSpec, engineFlags ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, net: firstNet + nets.Add(1), dir: t.TempDir(), procs: map[string]*exec.Cmd{},
		entries: entries, engines: engines, engineFlags: engineFlags, services: services,
	}
	t.Cleanup(c.stopAll)
	var err error
	c.ca, err = keys.NewCA(time.Now())
	c.must(err)
	c.write("ca.crt", c.ca.Cert)
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
		c.version = c.publish(0, rules)
	}
	c.eventually("all entry hosts see all", c.allSeeAll)
	return c
}

func (c *cluster) allSeeAll() bool {
	for n := 1; n <= c.entries; n++ {
		if !c.seesAll(n) {
			return false
		}
	}
	return true
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) write(name string, text []byte) string {
	path := filepath.Join(c.dir, name)
	c.must(os.WriteFile(path, text, 0o600))
	return path
}

// ip is the address of the nth host of a role.
func (c *cluster) ip(role, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.net, role, n) }

const (
	rolePlatform = iota
	roleEntry
	roleEngine
	roleService
)

func (c *cluster) platform() string      { return "http://" + c.ip(rolePlatform, 1) + ":9000" }
func (c *cluster) caller(n int) string   { return c.ip(roleEntry, n) + ":8080" }
func (c *cluster) operator(n int) string { return c.ip(roleEntry, n) + ":8081" }
func (c *cluster) peer(n int) string     { return c.ip(roleEntry, n) + ":8082" }
func (c *cluster) engine(n int) string   { return c.ip(roleEngine, n+1) + ":9100" }
func (c *cluster) service(n int) string  { return c.ip(roleService, n) + ":9200" }
func (c *cluster) log() *platformhttp.Client {
	return platformhttp.NewClient(c.platform(), 5*time.Second)
}

func (c *cluster) start(name, program string, args ...string) {
	c.t.Helper()
	file, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.must(err)
	defer func() { _ = file.Close() }()
	cmd := exec.Command(filepath.Join(bin, program), args...)
	cmd.Stdout, cmd.Stderr = file, file
	c.must(cmd.Start())
	c.procs[name] = cmd
}

func (c *cluster) startPlatform() {
	c.start("platform", "standin", "platform", "-address", c.ip(rolePlatform, 1)+":9000", "-host-lag", "500ms")
}

func (c *cluster) startService(n int) {
	c.start(fmt.Sprintf("service-%d", n), "standin", "service", "-name", fmt.Sprintf("service-%d", n),
		"-history", filepath.Join(c.dir, fmt.Sprintf("service-%d.history", n)),
		"-address", c.service(n), "-domain", string(rune('a'+n%3)), "-platform", c.platform())
}

func (c *cluster) startEngine(n int) {
	e := c.engines[n]
	c.start(e.name, "standin", append([]string{
		"engine", "-name", e.name, "-address", c.engine(n), "-domain", e.domain,
		"-layers", e.layers, "-layer-time", e.layerTime.String(), "-platform", c.platform(),
	}, c.engineFlags...)...)
}

func (c *cluster) entryName(n int) string { return fmt.Sprintf("entry-%d", n) }

func (c *cluster) startEntry(n int, change ...func(s *settings.Settings)) {
	name := c.entryName(n)
	pair, err := keys.New(c.ca, keys.RoleHost, name, []net.IP{net.ParseIP(c.ip(roleEntry, n))}, time.Now())
	c.must(err)
	s := settings.Default()
	s.Name = name
	s.FailureDomain = string(rune('a' + n%3))
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = c.caller(n), c.operator(n), c.peer(n)
	s.PlatformURL = c.platform()
	s.TLS = settings.TLS{
		CAFile: filepath.Join(c.dir, "ca.crt"), CertFile: c.write(name+".crt", pair.Cert), KeyFile: c.write(name+".key", pair.Key),
	}
	s.Times.EntriesValid = settings.Duration(time.Second)
	for _, f := range change {
		f(&s)
	}
	text, err := json.Marshal(s)
	c.must(err)
	c.start(name, "bulrushd", "serve", "-settings", c.write(name+".json", text))
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.t.Helper()
	c.must(c.procs[name].Process.Signal(s))
}

// kill ends a process at once, as a host that fails.
func (c *cluster) kill(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGKILL)
	_ = c.procs[name].Wait()
}

func (c *cluster) freeze(name string) { c.signal(name, syscall.SIGSTOP) }
func (c *cluster) thaw(name string)   { c.signal(name, syscall.SIGCONT) }

// stop ends a process gracefully and returns its exit code.
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

const logTail = 15

func (c *cluster) printLogs() {
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, f := range files {
		lines := strings.Split(c.logOf(strings.TrimSuffix(filepath.Base(f), ".log")), "\n")
		c.t.Logf("%s:\n%s", filepath.Base(f), strings.Join(lines[max(0, len(lines)-logTail):], "\n"))
	}
}

func (c *cluster) logOf(name string) string {
	text, _ := os.ReadFile(filepath.Join(c.dir, name+".log"))
	return string(text)
}

// fault tells a stand-in to fail.
func (c *cluster) fault(url string, f standin.Fault) {
	c.t.Helper()
	c.must(c.post(url+"/fault", f))
}

func (c *cluster) post(url string, in any) error {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	return client.Call(jsonhttp.Request{Method: http.MethodPost, URL: url, Timeout: patience}, in, nil)
}

func (c *cluster) get(url string, out any) error {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	return client.Call(jsonhttp.Request{Method: http.MethodGet, URL: url, Timeout: 2 * time.Second}, nil, out)
}

func (c *cluster) status(n int) (operator.Status, error) {
	var s operator.Status
	err := c.get("http://"+c.operator(n)+"/v1/status", &s)
	return s, err
}

func (c *cluster) seesAll(n int) bool {
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
	c.eventually("the log takes a publication", func() bool {
		var err error
		p := rule.Publication{ID: publication.NewID(), Base: base, Author: "test", Text: text}
		v, err = publication.Publish(c.log(), p, 100*time.Millisecond, 20)
		var e *publication.Error
		if errors.As(err, &e) && e.Kind == publication.KindConflict {
			c.t.Fatal(err)
		}
		return err == nil
	})
	return v
}

func (c *cluster) eventually(what string, is func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("got no end of waiting, want that %s", what)
		}
	}
}

// load returns options for a load on the whole cluster, whose seed is fixed.
func (c *cluster) load(rate float64, d time.Duration) load.Options {
	o := load.Options{
		Rate: rate, Duration: d, Calls: 0.6, Checks: 0.1, CallPath: "/dispatch/confirm", CheckPath: "/stock/pallets",
		Model: "assistant", MaxTokens: 10, Customers: []string{"puebla", "toluca", "mohacs"},
		Timeout: 20 * time.Second, Layers: layers, Versions: []string{"v1"}, Seed: 1,
	}
	for n := 1; n <= c.entries; n++ {
		o.Seeds = append(o.Seeds, c.caller(n))
	}
	for n := 1; n <= c.services; n++ {
		o.Executions = append(o.Executions, c.service(n))
	}
	return o
}

// script is what happens to a cluster while it is under load.
type script []event

type event struct {
	at time.Duration
	do func()
}

// play runs a load, lets the script happen meanwhile, and returns the report.
func (c *cluster) play(o load.Options, s script) load.Report {
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
		e.do()
	}
	got := <-done
	c.must(got.err)
	c.t.Logf("sent %d, whole %d, not run %d, unknown %d, restarted %d; keys %d, answered %d, unknown %d; longest gap %.0f ms",
		got.r.Sent, got.r.Complete, got.r.NotRun, got.r.Unknown, got.r.Restarted,
		got.r.Calls.Calls, got.r.Calls.Answered, got.r.Calls.Unknown, got.r.LongestGapMS)
	for _, cause := range got.r.Restarts {
		c.t.Logf("asked for again: %s", cause)
	}
	c.t.Logf("copies without an answer, by cause: %v", c.causes())
	return got.r
}

// causes counts what entry hosts told callers in place of answers.
func (c *cluster) causes() map[string]int {
	counts := map[string]int{}
	for n := 1; n <= c.entries; n++ {
		for _, line := range strings.Split(c.logOf(c.entryName(n)), "\n") {
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
