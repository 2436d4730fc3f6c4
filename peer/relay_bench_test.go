package peer_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"bulrushshed/keys"
	"bulrushshed/peer"
)

// benchmarkRelay returns a host that asks another one for connections to a replica that
// returns what it receives.
func benchmarkRelay(b *testing.B, prefix string) (connect func() net.Conn) {
	b.Helper()
	node := func(address string, r peer.RelayHandler) *peer.Node {
		cfg, _, err := keys.Pinned("entry", time.Now(), func(string) bool { return true })
		if err != nil {
			b.Fatal(err)
		}
		n, err := peer.NewNode(peer.Options{Address: address, DialTimeout: time.Second, MaxBytes: 1 << 20, Relay: r}, cfg, echo{}, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := n.Serve(ctx)
		b.Cleanup(func() { cancel(); <-done })
		return n
	}
	node(prefix+".1:7340", tcpRelay{})
	client := node(prefix+".2:7340", nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return func() net.Conn {
		conn, err := client.Relay(context.Background(), prefix+".1:7340", peer.RelayRequest{Address: ln.Addr().String()})
		if err != nil {
			b.Fatal(err)
		}
		return conn
	}
}

// BenchmarkRelayedConnection opens a relayed connection, sends 1 KiB and reads it back. All
// three ends share this process.
func BenchmarkRelayedConnection(b *testing.B) {
	connect := benchmarkRelay(b, "127.0.18")
	buf := make([]byte, 1<<10)
	for b.Loop() {
		conn := connect()
		exchange(b, conn, buf)
		_ = conn.Close()
	}
}

// BenchmarkRelayedEvent sends 200 bytes, as an event has, over one relayed connection and
// reads them back.
func BenchmarkRelayedEvent(b *testing.B) {
	conn := benchmarkRelay(b, "127.0.19")()
	buf := make([]byte, 200)
	for b.Loop() {
		exchange(b, conn, buf)
	}
	_ = conn.Close()
}

// BenchmarkIdleRelayedConnections reports the memory of open connections, of all three ends
// together.
func BenchmarkIdleRelayedConnections(b *testing.B) {
	const conns = 256
	connect := benchmarkRelay(b, "127.0.20")
	buf := make([]byte, 200)
	for b.Loop() {
		before := memoryInUse()
		all := make([]net.Conn, conns)
		for i := range all {
			all[i] = connect()
			exchange(b, all[i], buf)
		}
		b.ReportMetric(float64(memoryInUse()-before)/conns/1024, "KiB/conn")
		for _, conn := range all {
			_ = conn.Close()
		}
	}
}

func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func exchange(b *testing.B, conn net.Conn, buf []byte) {
	if _, err := conn.Write(buf); err != nil {
		b.Fatal(err)
	}
	if _, err := io.ReadFull(conn, buf); err != nil {
		b.Fatal(err)
	}
}
