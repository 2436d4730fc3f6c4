package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// client sends requests on a kept connection, and opens a new one after a failure.
type client struct {
	address string
	key     string
	// fields are further header fields, each with its line end. chunked sends bodies in
	// chunks.
	fields  string
	chunked bool
	conn    net.Conn
	reader  *bufio.Reader
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// answer is what a client got; status 0 means no answer.
type answer struct {
	id     string
	sentAt time.Time
	status int
	sealed bool
	body   string
	err    error
}

// send sends a request and reads its answer.
func (c *client) send(method, path string, body string, deadline time.Duration) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n", method, path, names["id"], a.id, names["deadline"], deadline.Milliseconds())
	if c.key != "" {
		head += "Authorization: Bearer " + c.key + "\r\n"
	}
	head += c.fields
	switch {
	case c.chunked:
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case method != http.MethodGet:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a.sentAt = time.Now()
	_ = c.conn.SetDeadline(a.sentAt.Add(deadline))
	if _, a.err = io.WriteString(c.conn, head+"\r\n"+body); a.err != nil {
		c.close()
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	text, err := io.ReadAll(resp.Body)
	a.status, a.sealed, a.body, a.err = resp.StatusCode, resp.Header.Get(names["seal"]) != "", string(text), err
	if err != nil || resp.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
