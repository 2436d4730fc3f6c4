package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// sent is one attempt of a client and its answer.
type sent struct {
	id, key string
	host    string
	at      time.Time
	status  int
	header  http.Header
	body    string
	err     error
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// send sends one request of a client to a front address.
func (d *deployment) send(c *http.Client, front, method, path, key, body string, timeout time.Duration, header map[string]string) sent {
	s := sent{id: newID(), key: key, host: d.hostAt(front), at: time.Now()}
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, in)
	if err != nil {
		s.err = err
		return s
	}
	req.Host = "gelato.example"
	req.Header.Set(names["attempt"], s.id)
	req.Header.Set(names["deadline"], fmt.Sprint(timeout.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	d.rec.note("client sends %s %s %s with key %q to %s", method, path, s.id, key, s.host)
	resp, err := c.Do(req)
	if err != nil {
		s.err = err
		d.rec.note("client gets no answer to %s: %v", s.id, err)
		return s
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	s.status, s.header, s.body, s.err = resp.StatusCode, resp.Header, string(text), err
	d.rec.note("client gets %d to %s, %d bytes, error %v", s.status, s.id, len(text), err)
	return s
}

// pick returns a front address, as the directory lists them for a zone.
func (d *deployment) pick(zone string) string {
	for _, i := range rand.Perm(len(d.hosts)) {
		if all := d.resolve(d.hosts[i], zone); len(all) > 0 {
			return all[rand.IntN(len(all))]
		}
	}
	return ""
}
