package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

func init() { scenarios["shapes"] = shapes }

func shapes(w *world, _ bool) bool {
	w.publish()
	p := w.newReplica("p0", "app", "", "a")
	_ = p
	h := w.newHost("ha", "a")
	w.awaitAll()
	n := 0
	bad := false
	try := func(what, method, target, bodyHeader, wire, body string, more ...string) {
		n++
		id := fmt.Sprintf("s%d", n)
		c, err := dial(h.front)
		check(err)
		defer func() { _ = c.Close() }()
		text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Bearer key-ana\r\n", method, target, names["id"], id, names["deadline"])
		for _, m := range more {
			text += m + "\r\n"
		}
		text += bodyHeader + "\r\n" + wire
		// A second request follows on the connection.
		_, _ = io.WriteString(c, text)
		a := c.read(method, 3*time.Second)
		var b answer
		if !a.close && a.err == nil {
			b = c.do("POST", "/book/next", id+"n", "key-ana", "next", 3000)
		}
		w.mu.Lock()
		runs, next := w.runs[id], w.runs[id+"n"]
		all := len(w.runs)
		w.mu.Unlock()
		verdict := "ok"
		if len(runs) != 1 || runs[0].method != method || runs[0].target != target || runs[0].body != body {
			verdict = "DIFFERENT"
			bad = true
		}
		w.note("%-28s %s: status %d err %v close %v; next %d; runs %q; next runs %d; ids %d", what, verdict, a.status, a.err, a.close, b.status, fmt.Sprintf("%+.300v", runs), len(next), all)
	}
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		try(m+" none", m, "/look/x", "", "", "")
		try(m+" length", m, "/look/x", "Content-Length: 4\r\n", "abcd", "abcd")
		try(m+" length 0", m, "/look/x", "Content-Length: 0\r\n", "", "")
		try(m+" chunks", m, "/look/x", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n", "abcd")
		try(m+" chunks none", m, "/look/x", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "")
	}
	for _, target := range []string{"/look//x", "/look/./x", "/look/../look/x", "/look/%2e%2e/x", "/look/%41%2F", "/look/x?", "/look/x??a", "/look/x?a=b&a=c#d", "/look/x;p=1", "/look/\xc3\xa4", "/look/a+b%20c", "/look/?q=/book/", "/look/x?q=%zz", "/look/%zz", "/look/x%00y", "/look/" + strings.Repeat("x", 7000)} {
		try(fmt.Sprintf("%.40q", target), "GET", target, "", "", "")
		try(fmt.Sprintf("%.40q POST", target), "POST", target, "Content-Length: 4\r\n", "abcd", "abcd")
	}
	try("extension", "POST", "/look/x", "Transfer-Encoding: chunked\r\n", "2;x=y\r\nab\r\n2\r\ncd\r\n0\r\n\r\n", "abcd")
	try("trailer", "POST", "/look/x", "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n", "2\r\nab\r\n2\r\ncd\r\n0\r\nX-T: 1\r\n\r\n", "abcd")
	try("big hex", "POST", "/look/x", "Transfer-Encoding: chunked\r\n", "00004\r\nabcd\r\n0\r\n\r\n", "abcd")
	try("multipart", "POST", "/look/x", "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 14\r\n", "--b\r\nno parts\r\n", "--b\r\nno parts\r\n")
	try("form", "POST", "/look/x", "Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 9\r\n", "a=b&c=%zz", "a=b&c=%zz")
	try("many bytes", "POST", "/look/x", fmt.Sprintf("Content-Length: %d\r\n", 4194304), strings.Repeat("y", 4194304), strings.Repeat("y", 4194304))
	try("many chunks", "POST", "/look/x", "Transfer-Encoding: chunked\r\n", strings.Repeat("1000\r\n"+strings.Repeat("z", 4096)+"\r\n", 1024)+"0\r\n\r\n", strings.Repeat("z", 4194304))
	try("expect", "POST", "/look/x", "Expect: 100-continue\r\nContent-Length: 4\r\n", "abcd", "abcd")
	try("lower", "POST", "/look/x", "content-length: 4\r\n", "abcd", "abcd")
	try("gzip body", "POST", "/look/x", "Content-Encoding: gzip\r\nContent-Length: 4\r\n", "abcd", "abcd")
	try("header 15k", "POST", "/look/x", "X-Long: "+strings.Repeat("v", 15500)+"\r\nContent-Length: 4\r\n", "abcd", "abcd")
	try("cookie", "GET", "/look/x", "Cookie: a=b\r\nCookie: c=d\r\nUser-Agent:\r\nAccept-Encoding: identity\r\n", "", "")
	return bad
}
