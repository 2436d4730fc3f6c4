package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// memoryLimitMB is limits.memory_mb of the settings.
	memoryLimitMB = 284
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes = 4194304
	// users is the number of clients of the plain service. Each keeps one connection and
	// sends a request each userInterval, which together makes the rates of the sheet:
	// 5.41 confirmations and 3 stock checks per second.
	users        = 90
	userInterval = 10700 * time.Millisecond
	confirmShare = 5.41 / (5.41 + 3)
	// streamClients send a stream each streamPause on average, beside the stream's own time.
	streamClients = 90
	streamPause   = 1430 * time.Millisecond
	// restartDelay is the short delay after which a process that ended is started again.
	restartDelay = 500 * time.Millisecond
	// lostAllowed is how many requests may be lost.
	lostAllowed = 3
)

// largestBody is the body of a confirmation.
var largestBody = strings.Repeat("x", bodyBytes)

// memoryGame is the state of a play of the case.
type memoryGame struct {
	d        *deployment
	stop     chan struct{}
	ends     atomic.Int64
	watching sync.WaitGroup
	mu       sync.Mutex
	lost     []string
}

// playMemory lets clients send the largest allowed bodies on connections that they keep,
// while all hosts but one lose power. The one that is left must answer.
func playMemory(d *deployment, trouble bool) (broken string, err error) {
	if d.plain, err = d.addReplicas("rota-app", "", 1); err != nil {
		return "", err
	}
	if d.engines, err = d.addReplicas("nyelv-szerver", "a100s", 5); err != nil {
		return "", err
	}
	d.publish("first configuration", func(c map[string]any) {
		c["tenants"] = []any{map[string]any{"name": "tenant0", "priority": 1, names["keys"]: []any{"key0"}}}
	})
	if err := d.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // the engines load layers
	g := &memoryGame{d: d, stop: make(chan struct{})}
	survivor := d.hosts[0]
	g.watching.Go(func() { g.enforceMemory(survivor) })
	var clients sync.WaitGroup
	for i := range users {
		clients.Go(func() { g.user(i) })
	}
	for i := range streamClients {
		clients.Go(func() { g.streamClient(i) })
	}
	time.Sleep(15 * time.Second)
	if trouble {
		for _, h := range d.hosts[1:] {
			d.rec.note("%s loses power", h.name)
			_ = h.cmd.Process.Kill()
		}
	}
	time.Sleep(82 * time.Second)
	close(g.stop)
	clients.Wait()
	g.watching.Wait()
	d.rec.note("%s ended %d times for its memory; %d requests were lost", survivor.name, g.ends.Load(), len(g.lost))
	for _, line := range g.lost {
		d.rec.note("LOST: %s", line)
	}
	if len(g.lost) <= lostAllowed {
		return "", nil
	}
	return fmt.Sprintf("%s, which no disruption touched, took %d requests on kept connections, passed them on to sound replicas and closed without an answer; its process exceeded %d MB %d times",
		survivor.name, len(g.lost), memoryLimitMB, g.ends.Load()), nil
}

// enforceMemory kills a process whose memory exceeds the limit, and starts it again, as
// the platform does.
func (g *memoryGame) enforceMemory(h *host) {
	peak := 0.0
	for {
		select {
		case <-g.stop:
			g.d.rec.note("%s: peak memory %.0f MB", h.name, peak)
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := memoryMB(h)
		peak = max(peak, used)
		if used <= memoryLimitMB {
			continue
		}
		g.ends.Add(1)
		g.d.rec.note("platform: process of %s uses %.0f MB, more than memory_mb, and is killed", h.name, used)
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.ended
		time.Sleep(restartDelay)
		if err := g.d.start(h); err != nil {
			g.d.rec.note("cannot start %s again: %v", h.name, err)
			return
		}
	}
}

// memoryMB returns the anonymous memory of the process of a host, in MB.
func memoryMB(h *host) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kb float64
			_, _ = fmt.Sscan(value, &kb)
			return kb / 1024
		}
	}
	return 0
}

// pause waits, and reports false once the play is over.
func (g *memoryGame) pause(d time.Duration) bool {
	select {
	case <-g.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// zoneOf returns the zone of the n-th client.
func zoneOf(n int) string { return zones[n%len(zones)] }

// user sends confirmations and stock checks on one connection.
func (g *memoryGame) user(n int) {
	c := newClient()
	front := ""
	if !g.pause(time.Duration(float64(userInterval) * float64(n) / users)) {
		return
	}
	for {
		front = g.keepOrPick(front, zoneOf(n))
		if front != "" && rand.Float64() < confirmShare {
			g.exchange(c, front, "POST", "/confirm/2f", largestBody, 3*time.Second, nil)
		} else if front != "" {
			g.exchange(c, front, "GET", "/stock/2f", "", 1500*time.Millisecond, nil)
		}
		if !g.pause(userInterval) {
			return
		}
	}
}

// streamClient sends requests that are answered by a stream, on one connection.
func (g *memoryGame) streamClient(n int) {
	c := newClient()
	front := ""
	for g.pause(time.Duration(rand.Float64() * 2 * float64(streamPause))) {
		front = g.keepOrPick(front, zoneOf(n))
		if front == "" {
			continue
		}
		g.exchange(c, front, "POST", "/notes/2f", "prompt", 20*time.Second, map[string]string{
			names["model"]: "m0", names["counts"]: "800,146", names["parts"]: fmt.Sprintf("%08x:40,%08x:760", 0x5c1e0700+n%60, rand.Uint32()),
		})
	}
}

// keepOrPick returns the front address to use: the one in use while the directory lists
// it, and another one otherwise.
func (g *memoryGame) keepOrPick(front, zone string) string {
	for _, i := range rand.Perm(len(g.d.hosts)) {
		all := g.d.resolve(g.d.hosts[i], zone)
		switch {
		case len(all) == 0:
		case slices.Contains(all, front):
			return front
		default:
			return all[rand.IntN(len(all))]
		}
	}
	return front
}

// exchange sends a request and reads the answer. It notes the request as lost if it came
// on a kept connection, reached a replica and got no answer.
func (g *memoryGame) exchange(c *http.Client, front, method, path, body string, timeout time.Duration, header map[string]string) {
	id, host := newID(), g.d.hostAt(front)
	reused := false
	ctx, cancel := context.WithTimeout(g.d.ctx, timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, in)
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // no attempt is sent twice
	req.Host = "gelato.example"
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["deadline"], fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key0")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	sentAt := time.Now()
	resp, err := c.Do(req)
	if err == nil {
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if path != "/notes/2f" || err != nil {
			g.d.rec.note("client sent %s %s %s to %s (kept connection: %v): %d, %d bytes, error %v", method, path, id, host, reused, resp.StatusCode, n, err)
		}
		return
	}
	g.d.rec.note("client sent %s %s %s to %s (kept connection: %v): no answer: %v", method, path, id, host, reused, err)
	// Of the hosts, only the first one is left alone.
	if reused && host == g.d.hosts[0].name && ctx.Err() == nil && g.ran(id) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.lost = append(g.lost, fmt.Sprintf("%s %s %s, sent to %s on a kept connection, reached a replica; the connection ended without an answer after %v", method, path, id, host, time.Since(sentAt).Round(time.Millisecond)))
	}
}

// ran reports whether a replica received a request.
func (g *memoryGame) ran(id string) bool {
	for _, x := range allRuns(g.d.plain, g.d.engines) {
		if x.id == id {
			return true
		}
	}
	return false
}
