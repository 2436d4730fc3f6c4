package peer_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers that do not read their streams must hold up neither the messages between two
// hosts nor the other connections that are relayed between them.
func TestUnreadRelayedConnectionsHoldUpNothing(t *testing.T) {
	t.Parallel()
	const unread = 60
	is := is.New(t)
	f := newRelayFixture(t, "127.0.19", tcpRelay{})
	go func() {
		for conn, err := f.replica.Accept(); err == nil; conn, err = f.replica.Accept() {
			go func() { _, _ = io.Copy(conn, endless{}) }()
		}
	}()
	for range unread {
		conn, err := f.connect(t, time.Minute)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	time.Sleep(300 * time.Millisecond) // the bytes of the replica fill the buffers
	next, err := requestOffset(t, f.client, f.address)
	is.NoErr(err)
	is.Equal(next, int64(7))
	conn, err := f.connect(t, time.Minute)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.CopyN(io.Discard, conn, 1<<20)
	is.NoErr(err)
}

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
