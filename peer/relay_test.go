package peer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/peer"
	"bulrushshed/relay"
)

// tcpRelay connects to replicas over TCP, or fails with err.
type tcpRelay struct{ err error }

func (r tcpRelay) Connect(ctx context.Context, address string) (net.Conn, error) {
	if r.err != nil {
		return nil, r.err
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// relayFixture is a host that asks another one for connections to a replica.
type relayFixture struct {
	client  *peer.Node
	address string
	replica net.Listener
}

func newRelayFixture(t *testing.T, prefix string, r peer.RelayHandler) *relayFixture {
	t.Helper()
	trust := &trustStore{pins: map[string]bool{}}
	f := &relayFixture{address: prefix + ".1:7340"}
	_, serverPin := startRelay(t, trust, f.address, r)
	client, clientPin := startNode(t, trust, prefix+".2:7340")
	trust.add(serverPin)
	trust.add(clientPin)
	f.client = client
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	f.replica = ln
	return f
}

func (f *relayFixture) connect(t *testing.T, lifetime time.Duration) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return f.client.Relay(ctx, f.address, peer.RelayRequest{Address: f.replica.Addr().String(), LifetimeMS: lifetime.Milliseconds()})
}

// connectAndGreet connects to the replica and sends it a line.
func (f *relayFixture) connectAndGreet(t *testing.T) net.Conn {
	t.Helper()
	conn, err := f.connect(t, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "hello\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// accept serves one connection of the replica. The channel has the error with which the
// connection to it ended.
func (f *relayFixture) accept(serve func(conn net.Conn)) <-chan error {
	ended := make(chan error, 1)
	go func() {
		conn, err := f.replica.Accept()
		if err != nil {
			ended <- err
			return
		}
		serve(conn)
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
		ended <- err
	}()
	return ended
}

// Bytes pass in both directions as they come, and the orderly end of the connection is one
// for the host that asked.
func TestRelayedConnectionPassesBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRelayFixture(t, "127.0.10", tcpRelay{})
	f.accept(func(conn net.Conn) {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, "got "+line)
		_, _ = io.WriteString(conn, "end\n")
		_ = conn.Close()
	})
	conn := f.connectAndGreet(t)
	answer, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(answer), "got hello\nend\n")
	is.NoErr(conn.Close())
}

// Like that of a TCP connection, the end comes after the last bytes and not with them.
func TestRelayedEndComesAfterLastBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRelayFixture(t, "127.0.17", tcpRelay{})
	f.accept(func(conn net.Conn) {
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, "answer")
		_ = conn.Close()
	})
	conn := f.connectAndGreet(t)
	time.Sleep(200 * time.Millisecond) // the end has arrived
	buf := make([]byte, 100)
	n, err := conn.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "answer")
	_, err = conn.Read(buf)
	is.True(errors.Is(err, io.EOF))
}

// An answer that breaks off must not look complete.
func TestRelayedBreakIsNoEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRelayFixture(t, "127.0.11", tcpRelay{})
	f.accept(func(conn net.Conn) {
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, "half")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closes with a reset
		}
		_ = conn.Close()
	})
	conn := f.connectAndGreet(t)
	_, err := io.ReadAll(conn)
	is.True(err != nil)
}

// If the asking host leaves, or the lifetime ends, the replica's connection ends.
func TestRelayedConnectionEndsWithItsRequest(t *testing.T) {
	t.Parallel()
	for i, c := range []struct {
		name     string
		lifetime time.Duration
		leave    bool
	}{{"asking host leaves", time.Minute, true}, {"lifetime ends", 200 * time.Millisecond, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRelayFixture(t, []string{"127.0.12", "127.0.13"}[i], tcpRelay{})
			ended := f.accept(func(net.Conn) {})
			conn, err := f.connect(t, c.lifetime)
			is.NoErr(err)
			if c.leave {
				is.NoErr(conn.Close())
			}
			is.True(<-ended != nil)
			_, err = io.ReadAll(conn)
			is.True(err != nil)
		})
	}
}

// A host says why it does not connect; one without a handler does not reach anything.
func TestRelayIsRefused(t *testing.T) {
	t.Parallel()
	for i, c := range []struct {
		handler peer.RelayHandler
		want    relay.Kind
	}{
		{tcpRelay{err: &relay.Error{Op: "connect", Kind: relay.KindBusy}}, relay.KindBusy},
		{tcpRelay{err: &relay.Error{Op: "connect", Kind: relay.KindUnreachable}}, relay.KindUnreachable},
		{nil, relay.KindUnreachable},
	} {
		t.Run(string(c.want), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRelayFixture(t, []string{"127.0.14", "127.0.15", "127.0.16"}[i], c.handler)
			_, err := f.connect(t, time.Minute)
			var e *relay.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, c.want)
		})
	}
}

// Guards against a part of an answer that passes for all of it: the replica resets the
// connection while the relaying host writes an upload to it, so that the write finds the
// reset and the read an end.
func TestRelayedResetDuringTheUploadIsNoEnd(t *testing.T) {
	t.Parallel()
	f := newRelayFixture(t, "127.0.18", tcpRelay{})
	for range 300 {
		f.accept(func(conn net.Conn) {
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, "half")
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // closes with a reset
			}
			_ = conn.Close()
		})
		conn := f.connectAndGreet(t)
		uploaded := make(chan struct{})
		go func() {
			defer close(uploaded)
			_, _ = conn.Write(make([]byte, 8<<20))
		}()
		_, err := io.ReadAll(conn)
		is.New(t).True(err != nil)
		is.New(t).NoErr(conn.Close())
		<-uploaded
	}
}
