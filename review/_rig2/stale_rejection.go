package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// playTime is how long callers send requests.
	playTime = 20 * time.Second
	// ordinaryCallers send a request each callerInterval, each on a new connection.
	ordinaryCallers = 4
	callerInterval  = 60 * time.Millisecond
	// strangerInterval is the interval of the requests of the one client that does not keep
	// the limits. Its header is larger than the published limit of 16 KiB.
	strangerInterval    = 250 * time.Millisecond
	strangerHeaderBytes = 20 << 10
	// deniedBase and deniedShare are the requests that may be denied wrongly.
	deniedBase  = 5
	deniedShare = 500
)

// playStaleRejection lets one client send requests with an unknown key and a header over the
// limit. Callers with a sound key and sound requests must not be denied.
func playStaleRejection(sc *scene) (broken string, err error) {
	st, err := newStore(sc.rec)
	if err != nil {
		return "", err
	}
	ran := &runs{}
	for i := range 3 {
		if _, err := startPlainReplica(st, ran, "plain", fmt.Sprintf("i-plain%d", i), 5*time.Millisecond); err != nil {
			return "", err
		}
	}
	st.put(names["configTopic"], "config", newConfig().encode(7))
	h, err := startHost(hostOptions{name: "edge-1", store: st.address, dir: sc.dir, machine: mediumMachine})
	if err != nil {
		return "", err
	}
	defer h.stop()
	if err := h.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	end := time.Now().Add(playTime)
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, denied, served := 0, 0, 0
	var answers []answer
	for range ordinaryCallers {
		all.Go(func() {
			for time.Now().Before(end) {
				c := &client{address: h.address, key: "key-ana-1"}
				a := c.send(http.MethodPost, "/safe/x", "question", 3*time.Second)
				c.close()
				mu.Lock()
				sent++
				answers = append(answers, a)
				switch {
				case a.status == http.StatusOK && a.sealed:
					served++
				case a.status >= 300 && a.status < 500 && !a.sealed:
					denied++
					sc.rec.logf("caller with a sound key: request %s answered %d by the host", a.id, a.status)
				default:
					sc.rec.logf("caller with a sound key: request %s answered %d %v", a.id, a.status, a.err)
				}
				mu.Unlock()
				time.Sleep(callerInterval)
			}
		})
	}
	strangers := map[int]int{}
	if sc.trouble {
		all.Go(func() {
			for time.Now().Before(end) {
				status := sendOversized(h.address)
				mu.Lock()
				strangers[status]++
				mu.Unlock()
				time.Sleep(strangerInterval)
			}
		})
	}
	all.Wait()
	sc.rec.logRequests("of the callers with a sound key", answers, ran)
	sc.rec.logf("sound requests: %d sent, %d served, %d denied by the host; answers to the client over the limit, by status: %v", sent, served, denied, strangers)
	if served < sent/4 {
		return "", errCannotRun
	}
	if denied > deniedBase+sent/deniedShare {
		return fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 4xx of the host's own", denied, sent), nil
	}
	return "", nil
}

// sendOversized sends a request with an unknown key, a short body and a header over the
// limit. It returns the status of the answer.
func sendOversized(address string) int {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nAuthorization: Bearer nobody\r\nX-Notes: %s\r\nContent-Length: 5\r\n\r\nhello",
		names["id"], newID(), strings.Repeat("n", strangerHeaderBytes))
	if _, err := io.WriteString(conn, head); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
