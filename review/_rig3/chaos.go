package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { scenarios["chaos"] = chaosRun }

func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

func chaosAnswer(r *replica, conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get(names["id"])
	head := func(more string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\n%s\r\n", names["id"], id, names["seal"], id, more)
	}
	whole := "answer to " + id
	if r.Kind != "" {
		if hops := req.Header.Get(names["hops"]); hops != "" {
			r.world.checkHops(r, id, hops)
		}
		first := 1
		if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
			first = n + 1
		}
		k := rand.Intn(100)
		piece := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }
		chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
		switch {
		case k < 4:
			r.stream(conn, req, id, 1+rand.Intn(10))
			return true
		case k < 6:
			_, _ = io.WriteString(conn, head("Transfer-Encoding: chunked\r\n")+chunk(piece(first))+chunk(piece(first + 1)[:6]))
			time.Sleep(20 * time.Millisecond)
			reset(conn)
			return true
		case k < 8:
			_, _ = io.WriteString(conn, head("")+piece(first)+piece(first + 1)[:8])
			time.Sleep(20 * time.Millisecond)
			reset(conn)
			return true
		case k < 10:
			reset(conn)
			return true
		case k < 12:
			_, _ = io.WriteString(conn, head("Transfer-Encoding: chunked\r\n")+chunk(piece(first))+chunk(piece(first+2)))
			time.Sleep(300 * time.Millisecond)
			return true
		case k < 13:
			time.Sleep(2 * time.Second)
			return false
		case k < 15:
			reply(conn, 503, map[string]string{names["id"]: id}, "")
			return true
		}
		return false
	}
	switch k := rand.Intn(100); {
	case k < 3:
		reset(conn)
		return true
	case k < 6:
		_, _ = io.WriteString(conn, head(fmt.Sprintf("Content-Length: %d\r\n", len(whole)))+whole[:5])
		return true
	case k < 9:
		_, _ = io.WriteString(conn, head("")+whole[:5])
		time.Sleep(10 * time.Millisecond)
		reset(conn)
		return true
	case k < 12:
		_, _ = io.WriteString(conn, head("")+whole)
		return true
	case k < 15:
		_, _ = io.WriteString(conn, head(fmt.Sprintf("Content-Length: %d\r\n", len(whole)))+whole+strings.ReplaceAll(head("Content-Length: 5\r\n"), id, "other")+"other")
		return true
	case k < 17:
		_, _ = io.WriteString(conn, strings.ReplaceAll(head("Content-Length: 5\r\n"), id, "other")+"other"+head(fmt.Sprintf("Content-Length: %d\r\n", len(whole)))+whole)
		return true
	case k < 19:
		reply(conn, 500, map[string]string{names["id"]: id, names["seal"]: "seal." + id}, "failed")
		return true
	case k < 21:
		reply(conn, 503, map[string]string{names["id"]: id, names["seal"]: "seal." + id}, "")
		return true
	case k < 23:
		reply(conn, 200, map[string]string{names["id"]: id}, whole)
		return true
	case k < 25:
		_, _ = io.WriteString(conn, "\x00\x01garbage")
		return true
	case k < 27:
		time.Sleep(time.Second)
	}
	return false
}

func (w *world) checkHops(r *replica, id, hops string) {
	next := 0
	for i, h := range strings.Split(hops, ",") {
		var from, to int
		at := strings.Index(h, "=")
		if _, err := fmt.Sscanf(h[at+1:], "%d-%d", &from, &to); err != nil || from != next || i == 0 && h[:at] != r.Address {
			w.note("LAYERS %s %s", id, hops)
		}
		next = to
	}
	if next != 80 {
		w.note("LAYERS %s %s", id, hops)
	}
}

func chaosRun(w *world, trouble bool) bool {
	w.onReplica = func(r *replica) { r.answer = chaosAnswer }
	return stress(w, trouble)
}
