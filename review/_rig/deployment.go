package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"bulrushshed/platform"
)

// heartbeat is the interval at which replicas publish their entries.
const heartbeat = 1200 * time.Millisecond

// zones are the failure domains of the deployment, and edgeHosts the hosts in each.
var (
	zones     = []string{"mohacs-a", "pecs-b", "szekszard-c"}
	edgeHosts = []int{3, 2, 2}
)

// deployment is a small deployment: a store, replicas and entry hosts.
type deployment struct {
	program string
	dir     string
	rec     *recorder
	store   *store
	storeAt string
	config  map[string]any
	hosts   []*host
	plain   []*replicaStandIn
	engines []*replicaStandIn
	ctx     context.Context
	cancel  context.CancelFunc
	client  *http.Client
	// maxFDs limits the descriptors of each process; 0 leaves them as they are.
	maxFDs uint64
}

// host is an entry host, which is a process of the project's program.
type host struct {
	name, zone, ip string
	front, ready   string
	directory      string
	cmd            *exec.Cmd
	// ended is closed once the process has ended; endErr is how.
	ended  chan struct{}
	endErr error
}

func newDeployment(program string, rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, dir: dir, rec: rec, store: newStore(), client: &http.Client{Transport: &http.Transport{}}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := json.Unmarshal(configText, &d.config); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAt = ln.Addr().String()
	go func() { _ = http.Serve(ln, d.store.mux) }()
	return d, nil
}

// publish writes a version of the configuration as the operator does, and returns when
// the store acknowledged it.
func (d *deployment) publish(what string, change func(config map[string]any)) time.Time {
	change(d.config)
	version, _ := d.config["version"].(float64)
	d.config["version"] = version + float64(1+rand.IntN(3))
	text, err := json.Marshal(d.config)
	if err != nil {
		panic(err)
	}
	d.store.put(platform.TopicConfig, platform.KeyConfig, text)
	d.rec.note("operator: version %v acknowledged: %s", d.config["version"], what)
	return time.Now()
}

// addReplicas starts n replicas of a service in each zone.
func (d *deployment) addReplicas(service, kind string, n int) ([]*replicaStandIn, error) {
	var all []*replicaStandIn
	for _, zone := range zones {
		for range n {
			r, err := newReplica(d, service, kind, zone)
			if err != nil {
				return nil, err
			}
			all = append(all, r)
		}
	}
	return all, nil
}

// freePort returns a port that is free on an address for TCP and UDP.
func freePort(ip string) (int, error) {
	for range 20 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
			return port, nil
		}
	}
	return 0, errors.New("no free port on " + ip)
}

// settings has the settings of a small deployment, as deploy/settings.json.tmpl names
// them.
func (d *deployment) settings(h *host, addresses map[string]string) map[string]any {
	return map[string]any{
		"caller_address": addresses["front"], "ready_address": addresses["ready"], "directory_address": addresses["directory"],
		"metrics_address": addresses["metrics"], "peer_address": addresses["peer"], "store_address": d.storeAt,
		"memory_mb": 284, "processor_share": 0.4, "link_mbps": 1000.0, "revoke": "5000ms", "grace": "8s", "addresses_valid_max": "5s",
		"retry_window": "10s", "retry_ratio": 0.2, "retry_extra": 198, "failure_domain": h.zone, "name": h.name,
	}
}

// startAttempts is how often a host is started, each time with other ports, until it is
// ready: another process may take a port that was free.
const startAttempts = 3

// startHosts starts all entry hosts and waits until they are ready.
func (d *deployment) startHosts() error {
	for z, zone := range zones {
		for i := range edgeHosts[z] {
			h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), z+1, 10+i)}
			if err := d.startNew(h); err != nil {
				return err
			}
			d.hosts = append(d.hosts, h)
		}
	}
	for _, h := range d.hosts {
		err := d.awaitReady(h, readyTimeout)
		for n := 1; err != nil && n < startAttempts; n++ {
			d.rec.note("%v, starting it again with other ports", err)
			d.kill(h)
			if err = d.startNew(h); err == nil {
				err = d.awaitReady(h, readyTimeout)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// startNew starts a host with new ports.
func (d *deployment) startNew(h *host) error {
	addresses := map[string]string{}
	for _, use := range []string{"front", "ready", "directory", "metrics", "peer"} {
		port, err := freePort(h.ip)
		if err != nil {
			return err
		}
		addresses[use] = fmt.Sprintf("%s:%d", h.ip, port)
	}
	h.front, h.ready, h.directory = addresses["front"], addresses["ready"], addresses["directory"]
	text, err := json.Marshal(d.settings(h, addresses))
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settingsPath(h), text, 0o600); err != nil {
		return err
	}
	return d.start(h)
}

// kill kills the process of a host and waits until it has ended.
func (d *deployment) kill(h *host) {
	_ = h.cmd.Process.Kill()
	<-h.ended
}

func (d *deployment) settingsPath(h *host) string { return filepath.Join(d.dir, h.name+".json") }

// start starts the process of a host with the command of the deploy file.
func (d *deployment) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.program, "host")
	cmd.Env = []string{"BULRUSHSHED_SETTINGS=" + d.settingsPath(h), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	if d.maxFDs > 0 {
		if err := limitDescriptors(&host{cmd: cmd}, d.maxFDs); err != nil {
			return err
		}
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	go func() {
		h.endErr = cmd.Wait()
		d.rec.note("process of %s (front %s) ended: %v", h.name, h.front, h.endErr)
		close(ended)
	}()
	d.rec.note("process of %s started, front %s", h.name, h.front)
	return nil
}

// isReady asks a host whether it is ready, as the platform does.
func (d *deployment) isReady(h *host) bool {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+platform.PathReady, nil)
	resp, err := d.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// readyTimeout is how long a host may take until it is ready.
const readyTimeout = 8 * time.Second

// awaitReady waits until a host is ready.
func (d *deployment) awaitReady(h *host, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-h.ended:
			return fmt.Errorf("%s ended: %v", h.name, h.endErr)
		default:
		}
		if d.isReady(h) {
			return nil
		}
	}
	return errors.New(h.name + " is not ready")
}

// resolve asks a host which addresses to use, as clients do.
func (d *deployment) resolve(h *host, zone string) []string {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?name=gelato.example&region=del-dunantul&zone=%s", h.directory, platform.PathAddresses, zone)
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	resp, err := d.client.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return out.Addresses
}

// hostAt returns the name of the host with a front address.
func (d *deployment) hostAt(front string) string {
	for _, h := range d.hosts {
		if h.front == front {
			return h.name
		}
	}
	return front
}

// close ends all processes that the rig started, and keeps their logs if
// REVIEW_LOGS names a folder.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	d.cancel()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, h := range d.hosts {
			text, _ := os.ReadFile(filepath.Join(d.dir, h.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, h.name+".log"), text, 0o600)
		}
	}
	_ = os.RemoveAll(d.dir)
}

// newID returns a new id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// route returns the route with the given name.
func route(config map[string]any, name string) map[string]any {
	for _, r := range config["routes"].([]any) {
		if r := r.(map[string]any); strings.EqualFold(fmt.Sprint(r["name"]), name) {
			return r
		}
	}
	return nil
}
