package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is an entry host, a process of the project's program.
type host struct {
	name    string
	address string
	ready   string
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// hostOptions are the settings in which hosts differ.
type hostOptions struct {
	name, store, dir string
	machine          machine
}

// machine is what a machine of the site gives to a process.
type machine struct {
	memoryMB           int
	cores, megabitLink float64
}

// mediumMachine is one of sereno-rota, and smallMachine one of sereno-rota-grown.
var (
	mediumMachine = machine{memoryMB: 284, cores: 0.4, megabitLink: 1000}
	smallMachine  = machine{memoryMB: 184, cores: 0.192, megabitLink: 20}
)

// started has all hosts that were started, so that none outlives this process.
var started struct {
	mu    sync.Mutex
	hosts []*host
	ended bool
}

// stopAll ends all hosts, and lets no other one start.
func stopAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	started.ended = true
	for _, h := range started.hosts {
		h.stop()
	}
}

// freePort returns a port that is free for TCP and UDP now.
func freePort() int {
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		addr, _ := ln.Addr().(*net.TCPAddr)
		pc, err := net.ListenPacket("udp", ln.Addr().String())
		_ = ln.Close()
		if err == nil {
			_ = pc.Close()
			return addr.Port
		}
	}
}

// startHost starts the program as the deploy file does, with settings like those that its
// template gives.
func startHost(o hostOptions) (*host, error) {
	at := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	h := &host{name: o.name, address: at(), ready: at(), ended: make(chan struct{})}
	settings := map[string]any{
		"caller_address": h.address, "ready_address": h.ready, "directory_address": at(), "metrics_address": at(), "peer_address": at(),
		"store_address": o.store, "memory_mb": o.machine.memoryMB, "store_partition_mb": 200, "max_descriptors": 4100,
		"processor_share": o.machine.cores, "link_mbps": o.machine.megabitLink, "revoke": "5000ms", "grace": "8s", "addresses_valid_max": "5s", "retry_window": "10s",
		"retry_ratio": 0.2, "retry_extra": 202, "failure_domain": "alajuela", "name": o.name,
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(o.dir, o.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(o.dir, o.name+".log"))
	if err != nil {
		return nil, err
	}
	h.command = exec.Command("target/bulrushd", "host")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHSHED_SETTINGS=" + path}
	h.command.Stdout, h.command.Stderr = log, log
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.ended {
		return nil, errCannotRun
	}
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	started.hosts = append(started.hosts, h)
	go func() {
		_ = h.command.Wait()
		close(h.ended)
	}()
	return h, nil
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready + names["ready"])
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("host " + h.name + " is not ready")
}

func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// stop ends the process.
func (h *host) stop() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}
