package intake_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/intake"
)

// step is what happens to a connection, a second after the step before. Connections are
// named by a letter for their address and a number.
type step struct {
	op    string
	conn  string
	bytes int
	// evicted and refused are what an admission returns.
	evicted []string
	refused bool
}

func admit(conn string, evicted ...string) step {
	return step{op: "admit", conn: conn, evicted: evicted}
}
func refuse(conn string) step          { return step{op: "admit", conn: conn, refused: true} }
func read(conn string, bytes int) step { return step{op: "read", conn: conn, bytes: bytes} }
func serve(conn string) step           { return step{op: "serve", conn: conn} }
func idle(conn string) step            { return step{op: "idle", conn: conn} }
func remove(conn string) step          { return step{op: "remove", conn: conn} }

func addressOf(conn string) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, conn[0]}) }

// At the bound the server must make room for a new connection where it can, at the expense
// of connections that nobody uses, and never of a request that may be running.
func TestConnectionClosedAtTheBound(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		opts  intake.ConnectionOptions
		steps []step
	}{
		{"no bound", intake.ConnectionOptions{}, []step{admit("a1"), admit("a2"), admit("a3")}},
		{"the one that has been idle longest", intake.ConnectionOptions{Max: 2}, []step{admit("a1"), admit("a2"), admit("a3", "a1"), admit("a4", "a2")}},
		{"idle since its last answer", intake.ConnectionOptions{Max: 2}, []step{
			admit("a1"), admit("a2"), read("a1", 1), serve("a1"), idle("a1"), admit("a3", "a2"),
		}},
		{"of the address with most connections", intake.ConnectionOptions{Max: 4}, []step{
			admit("b1"), admit("a1"), admit("a2"), admit("a3"), admit("c1", "a1"), admit("c2", "a2"), admit("c3", "c1"),
		}},
		{"not of an address without idle ones", intake.ConnectionOptions{Max: 3}, []step{
			admit("a1"), admit("a2"), serve("a1"), serve("a2"), admit("b1"), admit("c1", "b1"),
		}},
		{"busy connections count for their address", intake.ConnectionOptions{Max: 3}, []step{
			admit("b1"), admit("a1"), admit("a2"), serve("a1"), admit("c1", "a2"),
		}},
		{"idle before reading", intake.ConnectionOptions{Max: 2}, []step{admit("a1"), read("a1", 1), admit("b1"), admit("c1", "b1")}},
		{"least progress", intake.ConnectionOptions{Max: 2}, []step{
			admit("a1"), admit("b1"), read("b1", 10), read("a1", 1000), admit("c1", "b1"),
		}},
		{"least progress for its time", intake.ConnectionOptions{Max: 2}, []step{
			admit("a1"), admit("b1"), read("a1", 100), read("a1", 0), read("a1", 0), read("a1", 0), read("b1", 50), admit("c1", "a1"),
		}},
		{"progress of the present request only", intake.ConnectionOptions{Max: 2}, []step{
			admit("a1"), admit("b1"), read("a1", 1000), serve("a1"), idle("a1"), read("a1", 1), read("b1", 100), admit("c1", "a1"),
		}},
		{"never a request that was read", intake.ConnectionOptions{Max: 2}, []step{
			admit("a1"), admit("b1"), serve("a1"), serve("b1"), refuse("c1"), idle("a1"), admit("c1", "a1"),
		}},
		{"room after a close", intake.ConnectionOptions{Max: 1}, []step{admit("a1"), serve("a1"), refuse("a2"), remove("a1"), admit("a2")}},
		{"per address", intake.ConnectionOptions{Max: 9, MaxPerAddress: 2}, []step{
			admit("b1"), admit("a1"), admit("a2"), admit("a3", "a1"), serve("a2"), read("a3", 1), admit("a4", "a3"), serve("a4"), refuse("a5"),
		}},
		{"per address of one", intake.ConnectionOptions{Max: 1, MaxPerAddress: 1}, []step{admit("a1"), admit("a2", "a1"), admit("b1", "a2")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			table := intake.NewConnections[string](c.opts)
			now := time.Unix(1000, 0)
			for _, s := range c.steps {
				now = now.Add(time.Second)
				switch s.op {
				case "admit":
					evicted, admitted := table.Admit(s.conn, addressOf(s.conn), now)
					is.Equal(evicted, s.evicted)
					is.Equal(admitted, !s.refused)
				case "read":
					is.True(table.Read(s.conn, s.bytes, now))
				case "serve":
					is.True(table.Serve(s.conn))
				case "idle":
					table.Idle(s.conn, now)
				case "remove":
					table.Remove(s.conn)
				}
			}
		})
	}
}

// A request whose connection is being closed must not run, or its answer would be lost.
func TestRemovedConnectionServesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	table := intake.NewConnections[string](intake.ConnectionOptions{Max: 1})
	now := time.Unix(1000, 0)
	table.Admit("a1", addressOf("a1"), now)
	evicted, admitted := table.Admit("b1", addressOf("b1"), now)
	is.Equal(evicted, []string{"a1"})
	is.True(admitted)
	is.True(!table.Read("a1", 1, now))
	is.True(!table.Serve("a1"))
	table.Idle("a1", now)
	table.Remove("a1")
	is.Equal(table.Len(), 1)
}

// When descriptors run out, idle connections are closed, and no other.
func TestEvictIdle(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	table := intake.NewConnections[string](intake.ConnectionOptions{})
	now := time.Unix(1000, 0)
	for i, conn := range []string{"b1", "a1", "a2", "a3", "c1"} {
		table.Admit(conn, addressOf(conn), now.Add(time.Duration(i)*time.Second))
	}
	table.Read("a2", 1, now)
	table.Serve("c1")
	is.Equal(table.EvictIdle(2), []string{"a1", "a3"})
	is.Equal(table.EvictIdle(2), []string{"b1"})
	is.Equal(table.EvictIdle(2), nil)
	is.Equal(table.Len(), 2)
}

// One client has as many addresses as it likes in its IPv6 network, and an IPv4 address is
// the same one in either notation.
func TestAddressesOfOneClientCountTogether(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		first, second string
		want          bool
	}{
		{"10.0.0.1", "10.0.0.1", true},
		{"10.0.0.1", "10.0.0.2", false},
		{"10.0.0.1", "::ffff:10.0.0.1", true},
		{"2001:db8::1", "2001:db8::ffff:2", true},
		{"2001:db8::1", "2001:db8:0:1::1", false},
		{"fe80::1%a", "fe80::1%b", true},
	} {
		t.Run(c.first+" "+c.second, func(t *testing.T) {
			t.Parallel()
			table := intake.NewConnections[int](intake.ConnectionOptions{MaxPerAddress: 1})
			now := time.Unix(1000, 0)
			table.Admit(1, netip.MustParseAddr(c.first), now)
			evicted, _ := table.Admit(2, netip.MustParseAddr(c.second), now)
			is.New(t).Equal(len(evicted) == 1, c.want)
		})
	}
}

func TestDefaultMaxConnections(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		sockets int
		bytes   int64
		want    int
	}{
		{3900, 71 << 20, 2272},
		{2670, 134 << 20, 1868},
		{8000, 1 << 30, 5600},
		{-100, 1 << 30, 1},
		{1000, 0, 1},
	} {
		is.New(t).Equal(intake.DefaultMaxConnections(c.sockets, c.bytes), c.want)
	}
}

// Whatever happens, the bounds hold, a connection that serves a request stays, and the
// table forgets what was closed.
func TestConnectionsStayWithinTheirBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		opts := intake.ConnectionOptions{Max: rapid.IntRange(1, 6).Draw(t, "max"), MaxPerAddress: rapid.IntRange(0, 3).Draw(t, "max per address")}
		table := intake.NewConnections[string](opts)
		// open has the state of each connection: idle, read or serve.
		open := map[string]string{}
		now := time.Unix(1000, 0)
		closeAll := func(conns []string, idleOnly bool) {
			for _, conn := range conns {
				if state, ok := open[conn]; !ok || state == "serve" || idleOnly && state != "idle" {
					t.Fatalf("got %s closed in state %q", conn, state)
				}
				delete(open, conn)
			}
		}
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			op := rapid.SampledFrom([]string{"admit", "admit", "read", "serve", "idle", "remove", "evict"}).Draw(t, "op")
			conns := make([]string, 0, len(open))
			for conn := range open {
				conns = append(conns, conn)
			}
			slices.Sort(conns)
			switch {
			case op == "admit":
				conn := fmt.Sprintf("%s%d", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"), n)
				evicted, admitted := table.Admit(conn, addressOf(conn), now)
				closeAll(evicted, false)
				if admitted {
					open[conn] = "idle"
				}
			case op == "evict":
				closeAll(table.EvictIdle(2), true)
			case len(conns) > 0:
				conn := rapid.SampledFrom(conns).Draw(t, "conn")
				applyToConnection(table, op, conn, open, now)
			}
			checkConnections(t, table, opts, open)
		}
	})
}

func applyToConnection(table *intake.Connections[string], op, conn string, open map[string]string, now time.Time) {
	switch op {
	case "read":
		table.Read(conn, 10, now)
		if open[conn] == "idle" {
			open[conn] = "read"
		}
	case "serve":
		table.Serve(conn)
		open[conn] = "serve"
	case "idle":
		table.Idle(conn, now)
		open[conn] = "idle"
	case "remove":
		table.Remove(conn)
		delete(open, conn)
	}
}

func checkConnections(t *rapid.T, table *intake.Connections[string], opts intake.ConnectionOptions, open map[string]string) {
	if table.Len() != len(open) || len(open) > opts.Max {
		t.Fatalf("got %d connections, want %d and at most %d", table.Len(), len(open), opts.Max)
	}
	perAddress := map[byte]int{}
	for conn := range open {
		perAddress[conn[0]]++
		if opts.MaxPerAddress > 0 && perAddress[conn[0]] > opts.MaxPerAddress {
			t.Fatalf("got %d connections of an address, want at most %d", perAddress[conn[0]], opts.MaxPerAddress)
		}
	}
}
