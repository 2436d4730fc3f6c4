package hosted_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/daemon/hosted"
	"bulrushshed/settings"
)

// fleet is some hosts before a store and replicas, all in this process.
type fleet struct {
	net     string
	store   *store
	engines []*replicaStandIn
	plain   []*replicaStandIn
	hosts   []*entryHost
}

type entryHost struct {
	cfg  settings.Host
	door *door
	stop context.CancelFunc
	done chan error
}

func configuration(version int, keys ...string) map[string]any {
	rule := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 5000,
			"target_latency_ms": 500, "service": service, "max_attempts": 2, "stream_resume": kind == "streaming",
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{rule("draft", "streaming", "model"), rule("stock", "safe", "plain"), rule("confirm", "unsafe", "plain")},
		"services": []any{
			map[string]any{"name": "plain"},
			map[string]any{"name": "model", "engine": map[string]any{
				"kv_token_bytes": 1000, "step_ms": 1, "layers": 8, "layer_mb": 100,
				"kinds": []any{
					map[string]any{"name": "k", "size_mb": 1000, "pace": 1, "read_factor": 1},
					map[string]any{"name": "half", "size_mb": 460, "pace": 1, "read_factor": 1},
					map[string]any{"name": "tiny", "size_mb": 50, "pace": 1, "read_factor": 1},
				},
			}},
		},
		"tenants": []any{map[string]any{"name": "ana", "api_keys": keys}},
	}
}

func newFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	return newFleetOf(t, hosts, "k", "k")
}

// newFleetOf returns a fleet with engines of some kinds.
func newFleetOf(t *testing.T, hosts int, kinds ...string) *fleet {
	t.Helper()
	s := newStore(t)
	s.put("keyed.op", "config", configuration(1, "k1"))
	f := &fleet{store: s, net: newNet()}
	for i, kind := range kinds {
		f.engines = append(f.engines, newReplica(t, s, fmt.Sprintf("e%d", i), "model", kind))
	}
	for i := range 2 {
		f.plain = append(f.plain, newReplica(t, s, fmt.Sprintf("p%d", i), "plain", ""))
	}
	for i := range hosts {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	return f
}

// nets counts the networks of hosts that this process uses.
var nets atomic.Int32

// newNet returns the first three bytes of addresses that no other test uses; a
// port that was free a moment ago may be taken.
func newNet() string {
	const first, spread = 200, 50
	return fmt.Sprintf("127.%d.%d", first+os.Getpid()%spread, nets.Add(1))
}

func (f *fleet) start(t *testing.T, n int) *entryHost {
	t.Helper()
	cfg := settings.DefaultHost()
	cfg.Name, cfg.FailureDomain = fmt.Sprintf("entry-%d", n), "a"
	ip := fmt.Sprintf("%s.%d", f.net, n+1)
	cfg.CallerAddress, cfg.ReadyAddress = ip+":8080", ip+":8081"
	cfg.DirectoryAddress, cfg.MetricsAddress = ip+":8082", ip+":8083"
	cfg.PeerAddress = ip + ":8084"
	way := f.store.newDoor(t)
	cfg.StoreAddress = way.address()
	cfg.Log.Level = "error"
	cfg.Grace = settings.Duration(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	h := &entryHost{cfg: cfg, door: way, stop: cancel, done: make(chan error, 1)}
	go func() { h.done <- hosted.Run(ctx, hosted.Wire(cfg)) }()
	t.Cleanup(func() {
		cancel()
		if err := <-h.done; err != nil {
			t.Error(err)
		}
		h.done <- nil
	})
	return h
}

// await waits until something holds; it fails the test if it never does.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("got no %s within 30 s", what)
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (h *entryHost) ask(t *testing.T, method, path, key string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+h.cfg.CallerAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Bulrushshed-Attempt-Id", "9c41")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "broken: " + err.Error()
	}
	return resp.StatusCode, string(text)
}

// addresses asks a host which addresses to use.
func (h *entryHost) addresses(t *testing.T) []string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.cfg.DirectoryAddress+"/api/resolve?name=h.example&zone=a", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttl_s"`
	}
	if json.NewDecoder(resp.Body).Decode(&out) != nil || out.TTLS <= 0 {
		return nil
	}
	slices.Sort(out.Addresses)
	return out.Addresses
}

func (f *fleet) callers() []string {
	var all []string
	for _, h := range f.hosts {
		all = append(all, h.cfg.CallerAddress)
	}
	slices.Sort(all)
	return all
}

func TestAFleetServes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	await(t, "layers on both engines", func() bool { return len(f.engines[0].ordered()) == 1 && len(f.engines[1].ordered()) == 1 })
	for _, h := range f.hosts {
		await(t, "stock", func() bool { status, _ := h.ask(t, "GET", "/stock/1", "k1"); return status == 200 })
		await(t, "stream", func() bool { status, _ := h.ask(t, "POST", "/draft/1", "k1"); return status == 200 })
		status, body := h.ask(t, "POST", "/draft/1", "k1")
		is.Equal(status, 200)
		is.Equal(strings.Count(body, "id: "), 20)
		status, _ = h.ask(t, "POST", "/confirm/1", "k1")
		is.Equal(status, 200)
		status, _ = h.ask(t, "POST", "/confirm/1", "k2")
		is.Equal(status, 401)
		status, _ = h.ask(t, "POST", "/nothing/1", "k1")
		is.Equal(status, 404)
		await(t, "both hosts in the answer", func() bool { return slices.Equal(h.addresses(t), f.callers()) })
	}
	// The key stays here; replicas get its holder's name.
	for _, key := range append(f.plain[0].keys, f.plain[1].keys...) {
		is.Equal(key, "ana")
	}
	for _, e := range f.engines {
		is.Equal(len(e.ordered()), 1) // one host orders, once
	}
}

// A key that is taken away, and a rule that comes, are in force on every host.
func TestConfigurationsComeInForce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	for _, h := range f.hosts {
		await(t, "stock", func() bool { status, _ := h.ask(t, "GET", "/stock/1", "k1"); return status == 200 })
	}
	f.store.put("keyed.op", "config", configuration(5, "k2"))
	f.store.put("keyed.op", "config", configuration(3, "k1")) // an older one that comes late
	for _, h := range f.hosts {
		await(t, "new key", func() bool { status, _ := h.ask(t, "GET", "/stock/1", "k2"); return status == 200 })
		is.New(t).Equal(first(h.ask(t, "GET", "/stock/1", "k1")), 401)
	}
}

func first(status int, _ string) int { return status }

// A host that is stopped leaves the answers, ends what it has begun, and exits
// without an error.
func TestAGracefulStopCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	for _, e := range f.engines {
		e.pause = 60 * time.Millisecond
	}
	h := f.hosts[0]
	await(t, "stream", func() bool { status, _ := h.ask(t, "POST", "/draft/1", "k1"); return status == 200 })
	await(t, "both hosts in the answer", func() bool { return slices.Equal(f.hosts[1].addresses(t), f.callers()) })

	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.cfg.CallerAddress+"/draft/1", nil)
	is.NoErr(err)
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer k1")
	resp, err := client.Do(req)
	is.NoErr(err)
	r := bufio.NewReader(resp.Body)
	_, err = r.ReadString('\n')
	is.NoErr(err)
	h.stop()
	var rest strings.Builder
	for strings.Count(rest.String(), "id: ") < 17 {
		line, err := r.ReadString('\n')
		is.NoErr(err)
		rest.WriteString(line)
	}
	select {
	case <-h.done:
		t.Fatal("got the end of the host before that of its stream")
	default:
	}
	tail, err := io.ReadAll(r)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(strings.Count(rest.String()+string(tail), "id: "), 19)
	await(t, "answer without the host", func() bool {
		return slices.Equal(f.hosts[1].addresses(t), []string{f.hosts[1].cfg.CallerAddress})
	})
}

// A host that knows the configuration but not the replicas takes no requests yet:
// it would refuse them for want of engines.
func TestAHostWaitsForTheListOfReplicas(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 0)
	f.store.setUnreadable("keyed.servers")
	h := f.start(t, 0)
	await(t, "answer", func() bool { status, _ := h.ask(t, "GET", "/stock/1", "k1"); return status != 0 })
	is.Equal(first(h.ask(t, "GET", "/nothing/1", "k1")), 503) // not 404: it does not decide yet
	is.Equal(h.addresses(t), nil)
	f.store.setUnreadable("")
	await(t, "stock", func() bool { status, _ := h.ask(t, "GET", "/stock/1", "k1"); return status == 200 })
}

// Without the store keys can't be trusted for long; when it is back they can.
func TestAnOutageOfTheStoreEndsTheTrustInKeys(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	h := f.hosts[0]
	await(t, "stock", func() bool { status, _ := h.ask(t, "GET", "/stock/1", "k1"); return status == 200 })
	await(t, "members known to the host", func() bool { return f.store.toldMembers() > 0 })
	f.store.setDown(true)
	await(t, "refusal", func() bool { status, _ := h.ask(t, "GET", "/stock/1", "k1"); return status == 503 })
	await(t, "answer without the host", func() bool { return h.addresses(t) == nil })
	f.store.setDown(false)
	await(t, "stock again", func() bool { status, _ := h.ask(t, "GET", "/stock/1", "k1"); return status == 200 })
}

// An engine that is too small for a layer does not stop the repair of what others
// held.
func TestATooSmallEngineStopsNoRepair(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleetOf(t, 1, "half", "half", "half", "tiny")
	half := f.engines[:3]
	await(t, "layers on the engines", func() bool {
		return !slices.ContainsFunc(half, func(e *replicaStandIn) bool { return len(e.ordered()) != 1 })
	})
	is.Equal(len(f.engines[3].ordered()), 0)
	lone := slices.IndexFunc(half, func(e *replicaStandIn) bool {
		held := e.ordered()[0]
		return !slices.ContainsFunc(half, func(o *replicaStandIn) bool { return o != e && layersOf(o.ordered()[0]) == layersOf(held) })
	})
	is.True(lone >= 0) // two halves of the layers on three engines
	lost := half[lone]
	f.store.put("keyed.servers", lost.id, nil)
	await(t, "repair", func() bool {
		return slices.ContainsFunc(half, func(e *replicaStandIn) bool {
			return e != lost && layersOf(e.ordered()[len(e.ordered())-1]) == layersOf(lost.ordered()[0])
		})
	})
}

// layersOf returns the layers that an order names.
func layersOf(order string) [2]int {
	var in struct{ From, Target int }
	// What can't be read names no layers.
	_ = json.Unmarshal([]byte(order), &in)
	return [2]int{in.From, in.Target}
}
