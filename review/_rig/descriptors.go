package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["descriptors"] = playDescriptors }

const (
	// maxFDs is limits.max_fds of the settings, 4,100, less the 200 that are reserved for
	// files.
	maxFDs = 3900
	// newPerSecond requests open a connection each, and keptPerSecond come on connections
	// that their clients keep. Together they are the rate of the sheet.
	newPerSecond  = 54
	keptPerSecond = 18.2
	keptClients   = 100
	// slowReading is the time to the first event of a stream, within its objective of
	// 500 ms.
	slowReading = 490 * time.Millisecond
)

// playDescriptors lets clients open connections and leave it to the host to close them
// when they are idle, while all hosts but one lose power.
func playDescriptors(d *deployment, trouble bool) (broken string, err error) {
	d.maxFDs = maxFDs
	if d.plain, err = d.addReplicas("rota-app", "", 1); err != nil {
		return "", err
	}
	if d.engines, err = d.addReplicas("nyelv-szerver", "a100s", 5); err != nil {
		return "", err
	}
	for _, r := range d.engines {
		r.reading = slowReading
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
	g.watching.Go(func() { g.restart(survivor) })
	var clients sync.WaitGroup
	for i := range keptClients {
		clients.Go(func() { g.keptClient(i) })
	}
	clients.Go(func() { g.newClients(&clients) })
	time.Sleep(5 * time.Second)
	if trouble {
		for _, h := range d.hosts[1:] {
			d.rec.note("%s loses power", h.name)
			_ = h.cmd.Process.Kill()
		}
	}
	time.Sleep(84 * time.Second)
	close(g.stop)
	clients.Wait()
	g.watching.Wait()
	d.rec.note("%s ended %d times by itself; %d requests were lost", survivor.name, g.ends.Load(), len(g.lost))
	for _, line := range g.lost {
		d.rec.note("LOST: %s", line)
	}
	if len(g.lost) <= lostAllowed {
		return "", nil
	}
	return fmt.Sprintf("%s, which no disruption touched, took %d requests on kept connections, passed them on to sound replicas and closed without an answer; its process ended by itself %d times",
		survivor.name, len(g.lost), g.ends.Load()), nil
}

// limitDescriptors sets the limit of a process, as the platform does.
func limitDescriptors(h *host, limit uint64) error {
	return unix.Prlimit(h.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil)
}

// openDescriptors returns the number of descriptors of a process.
func openDescriptors(h *host) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// restart starts a process again that has ended, as the platform does. It notes the
// number of descriptors each five seconds.
func (g *memoryGame) restart(h *host) {
	t := time.NewTicker(5 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.d.rec.note("%s has %d descriptors", h.name, openDescriptors(h))
			continue
		case <-h.ended:
		}
		g.ends.Add(1)
		g.d.rec.note("%s ended by itself; its last lines:\n%s", h.name, g.d.lastLines(h, 2))
		if !g.pause(restartDelay) {
			return
		}
		if err := g.d.start(h); err != nil {
			g.d.rec.note("cannot start %s again: %v", h.name, err)
			return
		}
	}
}

// lastLines returns the last lines that a host wrote.
func (d *deployment) lastLines(h *host, n int) string {
	text, err := os.ReadFile(filepath.Join(d.dir, h.name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-n, 0):], "\n")
}

// notes has the header fields of a request that is answered by a stream.
func notes(n int) map[string]string {
	return map[string]string{
		names["model"]: "m0", names["counts"]: "800,146", names["parts"]: fmt.Sprintf("%08x:40,%08x:760", 0x5c1e0700+n%60, rand.Uint32()),
	}
}

// streamTime is how long a stream of the stand-ins takes.
const streamTime = slowReading + 72*20*time.Millisecond

// keptClient sends streams on one connection.
func (g *memoryGame) keptClient(n int) {
	c := newClient()
	front := ""
	pause := keptClients/keptPerSecond - streamTime.Seconds()
	for g.pause(time.Duration(rand.Float64() * 2 * pause * float64(time.Second))) {
		if front = g.keepOrPick(front, zoneOf(n)); front != "" {
			g.exchange(c, front, "POST", "/notes/2f", "prompt", 20*time.Second, notes(n))
		}
	}
}

// newClients lets new clients send one request each. They leave their connections open.
func (g *memoryGame) newClients(all *sync.WaitGroup) {
	t := time.NewTicker(time.Second / newPerSecond)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-g.stop:
			return
		}
		all.Go(func() {
			front := g.keepOrPick("", zoneOf(n))
			switch {
			case front == "":
			case n%6 == 0:
				g.exchange(newClient(), front, "GET", "/stock/2f", "", 1500*time.Millisecond, nil)
			default:
				g.exchange(newClient(), front, "POST", "/notes/2f", "prompt", 20*time.Second, notes(n))
			}
		})
	}
}
