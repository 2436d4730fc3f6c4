package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy in front of an address. It has a bandwidth towards the one that connects,
// and can be cut without a reset: then nothing passes, and new connections hang.
type link struct {
	address string
	target  string
	// bytesPerSecond bounds all connections together; 0 means no bound.
	bytesPerSecond int

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	// nextAt is when the next bytes may pass.
	nextAt time.Time
}

func newLink(target string, bytesPerSecond int) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), target: target, bytesPerSecond: bytesPerSecond, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// setCut cuts or heals the link. What was held up is lost: its connections are reset.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		return
	}
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) serve(client net.Conn) {
	l.mu.Lock()
	l.conns[client] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, client)
		l.mu.Unlock()
		_ = client.Close()
	}()
	if l.isCut() {
		// The handshake of a real connection would hang; here only its bytes do.
		var b [1]byte
		for l.isCut() {
			_ = client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, _ = client.Read(b[:])
			time.Sleep(10 * time.Millisecond)
		}
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		l.copy(server, client, 0)
		_ = server.Close()
	}()
	l.copy(client, server, l.bytesPerSecond)
}

// copy passes bytes on until the connection ends. It holds them while the link is cut.
func (l *link) copy(to, from net.Conn, bytesPerSecond int) {
	buf := make([]byte, 8<<10)
	for {
		n, err := from.Read(buf)
		for l.isCut() {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			l.pace(n, bytesPerSecond)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) pace(n, bytesPerSecond int) {
	if bytesPerSecond <= 0 {
		return
	}
	now := time.Now()
	l.mu.Lock()
	if l.nextAt.Before(now) {
		l.nextAt = now
	}
	l.nextAt = l.nextAt.Add(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
	at := l.nextAt
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}
