package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// originalLength is a header field that a client's gateway adds when it sends a body in chunks
// that it has received with a length.
const originalLength = "X-Original-Content-Length: 8\r\n"

// playFieldName lets some clients send proper requests with a header field whose name ends with
// that of another field. They must be served like the others.
func playFieldName(sc *scene) (broken string, err error) {
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
	end := time.Now().Add(15 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	denied, served := 0, 0
	for i := range ordinaryCallers {
		all.Go(func() {
			c := &client{address: h.address, key: "key-ana-1", chunked: true}
			if i == 0 && sc.trouble {
				c.fields = originalLength
			}
			defer c.close()
			for time.Now().Before(end) {
				a := c.send(http.MethodPost, "/unsafe/x", "question", 3*time.Second)
				mu.Lock()
				answers = append(answers, a)
				switch {
				case a.status == http.StatusOK && a.sealed:
					served++
				case a.status >= 300 && a.status < 500 && !a.sealed:
					denied++
				}
				mu.Unlock()
				time.Sleep(callerInterval)
			}
		})
	}
	all.Wait()
	sc.rec.logRequests("in chunks, all proper", answers, ran)
	sc.rec.logf("proper requests: %d sent, %d served, %d denied by the host", len(answers), served, denied)
	if served < len(answers)/4 {
		return "", errCannotRun
	}
	if denied > deniedBase+len(answers)/deniedShare {
		return fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 4xx of the host's own", denied, len(answers)), nil
	}
	return "", nil
}
