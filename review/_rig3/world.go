package main

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed names.json
var namesText []byte

//go:embed config.tmpl
var configText string

//go:embed foreign.tmpl
var foreignText string

//go:embed entry.tmpl
var entryText string

// names has the names of the platform's protocol.
var names map[string]string

var configTemplate = template.Must(template.New("config").Parse(configText))

func check(err error) {
	if err != nil {
		panic(err)
	}
}

type route struct {
	Name, Kind, Service string
	TimeoutMS, Attempts int
	Resume              bool
}

type tenant struct {
	Name string
	Keys []string
}

type config struct {
	Version int
	Routes  []route
	Tenants []tenant
}

// world is one deployment with its record.
type world struct {
	store  *store
	bin    string
	dir    string
	config config
	hosts  []*host

	mu   sync.Mutex
	runs map[string][]execution
	log  *os.File
	t0   time.Time
}

// open prepares a world for its first process.
func (w *world) open(bin, record string) {
	check(json.Unmarshal(namesText, &names))
	f, err := os.Create(record)
	check(err)
	dir, err := os.MkdirTemp("", "review")
	check(err)
	w.store, w.bin, w.dir, w.runs, w.log, w.t0 = newStore(), bin, dir, map[string][]execution{}, f, time.Now()
	w.config = config{Version: 1, Routes: []route{
		{"book", "unsafe", "app", 3000, 2, false}, {"look", "safe", "app", 3000, 2, false}, {"draft", "streaming", "model", 20000, 2, true},
	}, Tenants: []tenant{{"ana", []string{"key-ana", "key-old"}}, {"bea", []string{"key-bea"}}}}
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.log, "%8.3f "+format+"\n", append([]any{time.Since(w.t0).Seconds()}, args...)...)
}

func (w *world) ran(r execution) {
	w.mu.Lock()
	w.runs[r.id] = append(w.runs[r.id], r)
	w.mu.Unlock()
}

func (w *world) publish() {
	var out bytes.Buffer
	check(configTemplate.Execute(&out, w.config))
	w.store.put(names["op"], "config", out.String())
	w.note("configuration %d acknowledged", w.config.Version)
	w.config.Version++
}

// host is a process of the program.
type host struct {
	world                                 *world
	name, zone, door                      string
	front, ready, directory, peer, metric string
	cmd                                   *exec.Cmd
	exited                                chan struct{}
	settings                              string
}

// nextPort is the port that is tried next for a host. Ports of hosts are below the range from which the system takes
// those of clients, so that a host that is started again finds its ports free.
var nextPort = 20000 + rand.N(10000)

// freePort returns an address with a free port that no other host has.
func freePort(network string) string {
	const tries = 100
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if network == "udp" {
			if c, err := net.ListenPacket(network, address); err == nil {
				check(c.Close())
				return address
			}
			continue
		}
		if ln, err := net.Listen(network, address); err == nil {
			check(ln.Close())
			return address
		}
	}
	panic("no free port")
}

func (w *world) newHost(name, zone string) *host {
	h := &host{world: w, name: name, zone: zone, door: w.store.open(), front: freePort("tcp"), ready: freePort("tcp"), directory: freePort("tcp"), metric: freePort("tcp"), peer: freePort("udp")}
	text, err := json.Marshal(map[string]any{
		"caller_address": h.front, "ready_address": h.ready, "directory_address": h.directory, "metrics_address": h.metric, "peer_address": h.peer,
		"store_address": h.door, "memory_mb": 284, "store_partition_mb": 200, "max_descriptors": 4100, "processor_share": 0.4, "link_mbps": 1000.0,
		"revoke": "5000ms", "grace": "8s", "addresses_valid_max": "5s", "retry_window": "10s", "retry_ratio": 0.2, "retry_extra": 202,
		"failure_domain": zone, "name": name,
	})
	check(err)
	h.settings = filepath.Join(w.dir, name+".json")
	check(os.WriteFile(h.settings, text, 0o600))
	w.hosts = append(w.hosts, h)
	h.start()
	return h
}

func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	h.cmd = exec.Command(h.world.bin, "host")
	h.cmd.Env = []string{"BULRUSHSHED_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + h.world.dir}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(h.cmd.Start())
	h.exited = make(chan struct{})
	cmd, exited := h.cmd, h.exited
	go func() {
		_ = cmd.Wait()
		h.world.note("host %s ended: %v", h.name, cmd.ProcessState)
		_ = log.Close()
		close(exited)
	}()
	h.world.note("host %s started at %s", h.name, h.front)
}

func (h *host) signal(s syscall.Signal) {
	h.world.note("host %s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

func (h *host) await(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + names["ready"])
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return true
			}
		}
	}
	return false
}

// awaitAll waits until all hosts are ready. If they do not become ready, the case cannot run.
func (w *world) awaitAll() {
	for _, h := range w.hosts {
		if !h.await(10 * time.Second) {
			panic("host " + h.name + " is not ready")
		}
	}
}

// stop ends all processes.
func (w *world) stop() {
	for _, h := range w.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
}

// conn is a client's connection.
type conn struct {
	net.Conn
	br *bufio.Reader
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// request returns the bytes of a request.
func request(method, target, id, key, body string, ms int, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", method, target, names["id"], id, names["deadline"], ms, key)
	for _, m := range more {
		b.WriteString(m + "\r\n")
	}
	if body != "" || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

type answer struct {
	status     int
	id, seal   string
	body       string
	err        error
	retryAfter string
	close      bool
}

// read reads an answer.
func (c *conn) read(method string, limit time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, id: resp.Header.Get(names["id"]), seal: resp.Header.Get(names["seal"]), body: string(body), err: err, retryAfter: resp.Header.Get("Retry-After"), close: resp.Close}
}

func (c *conn) do(method, target, id, key, body string, ms int, more ...string) answer {
	if _, err := io.WriteString(c, request(method, target, id, key, body, ms, more...)); err != nil {
		return answer{err: err}
	}
	return c.read(method, time.Duration(ms+2000)*time.Millisecond)
}
