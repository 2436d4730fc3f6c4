package keys_test

import (
	"crypto/tls"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/keys"
)

// Two hosts must accept each other if and only if each trusts the other's pin.
func TestPinnedHandshake(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name                       string
		serverTrusts, clientTrusts bool
	}{{"both", true, true}, {"server only", true, false}, {"client only", false, true}, {"none", false, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var serverPin, clientPin string
			server, serverPin, err := keys.Pinned("entry-1", time.Now(), func(pin string) bool { return c.serverTrusts && pin == clientPin })
			is.NoErr(err)
			client, clientPin, err := keys.Pinned("entry-2", time.Now(), func(pin string) bool { return c.clientTrusts && pin == serverPin })
			is.NoErr(err)
			is.True(serverPin != clientPin)
			is.Equal(handshake(t, server, client), c.serverTrusts && c.clientTrusts)
		})
	}
}

// handshake reports whether both ends of a connection accept each other.
func handshake(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			_, err = conn.Write([]byte{1})
			_ = conn.Close()
		}
		done <- err
	}()
	client.ServerName = "entry-1"
	conn, err := tls.Dial("tcp", ln.Addr().String(), client)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	return <-done == nil && err == nil
}
