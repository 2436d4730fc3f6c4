package relay_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/relay"
)

const (
	replica     = "replica:1"
	dialTimeout = 200 * time.Millisecond
)

var errDial = errors.New("dial failed")

// network is a fake of the links between this host, other hosts and replicas.
type network struct {
	mu sync.Mutex
	// direct is how the links of this host behave.
	direct behaviour
	// hosts is how other hosts answer, by address.
	hosts map[string]behaviour
	// asked counts the questions to each host, and dials the direct dials.
	asked map[string]int
	dials int
	// lifetimes are those of the relayed connections.
	lifetimes []time.Duration
	open      int
}

type behaviour int

const (
	connects behaviour = iota
	hangs
	refuses
	busy
	unreachable
	slow
)

func (n *network) dial(ctx context.Context, b behaviour) (net.Conn, error) {
	switch b {
	case hangs:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case refuses:
		return nil, errDial
	case busy:
		return nil, &relay.Error{Op: "ask", Kind: relay.KindBusy}
	case unreachable:
		return nil, &relay.Error{Op: "ask", Kind: relay.KindUnreachable}
	case slow:
		time.Sleep(100 * time.Millisecond)
	case connects:
		time.Sleep(time.Millisecond)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open++
	return &fakeConn{network: n, via: b}, nil
}

// fakeConn is a connection that counts as open until it is closed.
type fakeConn struct {
	net.Conn
	network *network
	via     behaviour
	host    string
}

func (c *fakeConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.open--
	return nil
}

func (n *network) set(direct behaviour, hosts map[string]behaviour) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct = direct
	n.hosts = hosts
}

func (n *network) openCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}

func (n *network) askedCount(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked[host]
}

func newNetwork(direct behaviour, hosts map[string]behaviour) (*network, *relay.Dialer) {
	n := &network{direct: direct, hosts: hosts, asked: map[string]int{}}
	d := relay.NewDialer(relay.Options{
		FailureDomain: "a",
		Direct: func(ctx context.Context, _ string) (net.Conn, error) {
			n.mu.Lock()
			b := n.direct
			n.dials++
			n.mu.Unlock()
			return n.dial(ctx, b)
		},
		Via: func(ctx context.Context, host, _ string, lifetime time.Duration) (net.Conn, error) {
			n.mu.Lock()
			b := n.hosts[host]
			n.asked[host]++
			n.lifetimes = append(n.lifetimes, lifetime)
			n.mu.Unlock()
			conn, err := n.dial(ctx, b)
			if c, ok := conn.(*fakeConn); ok {
				c.host = host
			}
			return conn, err
		},
		Hosts: func() []relay.Host {
			n.mu.Lock()
			defer n.mu.Unlock()
			var all []relay.Host
			for h := range n.hosts {
				all = append(all, relay.Host{Address: h, FailureDomain: h[:1]})
			}
			return all
		},
		Log: slog.New(slog.DiscardHandler),
	})
	return n, d
}

// Each case has the behaviour of the direct link and of other hosts, whose names begin
// with their failure domain.
func TestDial(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		direct behaviour
		hosts  map[string]behaviour
		// via is the host that relays, or "" for a direct connection; failed is set if there
		// is none.
		via    string
		failed bool
		// within bounds the time of the first dial.
		within time.Duration
		down   bool
	}{
		{"sound link", connects, map[string]behaviour{"a1": connects}, "", false, time.Millisecond, false},
		{"silent link", hangs, map[string]behaviour{"a1": connects}, "a1", false, 31 * time.Millisecond, true},
		{"refusing link", refuses, map[string]behaviour{"a1": connects}, "a1", false, time.Millisecond, true},
		{"no other host", hangs, nil, "", true, dialTimeout, false},
		{"replica down", refuses, map[string]behaviour{"a1": unreachable}, "", true, 0, false},
		{"replica silent", hangs, map[string]behaviour{"a1": unreachable}, "", true, dialTimeout, false},
		{"nearest host is busy", refuses, map[string]behaviour{"a1": busy, "b1": connects}, "b1", false, time.Millisecond, true},
		{"nearest host is cut, too", refuses, map[string]behaviour{"a1": unreachable, "b1": connects}, "b1", false, time.Millisecond, true},
		{"nearest host does not answer", refuses, map[string]behaviour{"a1": hangs, "b1": connects}, "b1", false, 151 * time.Millisecond, true},
		{"slow link", slow, map[string]behaviour{"a1": hangs}, "", false, 100 * time.Millisecond, false},
		{"all hosts cut", hangs, map[string]behaviour{"a1": unreachable, "a2": unreachable, "b1": hangs}, "", true, dialTimeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, d := newNetwork(c.direct, c.hosts)
				began := time.Now()
				conn, err := d.Dial(t.Context(), replica)
				if took := time.Since(began); took > c.within {
					t.Errorf("got a result after %v, want it within %v", took, c.within)
				}
				is.Equal(err != nil, c.failed)
				if f, ok := conn.(*fakeConn); ok {
					is.Equal(f.host, c.via)
				}
				_, down := d.DownSince(replica)
				is.Equal(down, c.down)
				time.Sleep(time.Second)
				// The connection that was not used is closed.
				is.Equal(n.openCount() == 1, !c.failed)
			})
		})
	}
}

// Once a link is down, connections are relayed at once, and directly again after it is up.
func TestDirectAgainAfterCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, d := newNetwork(hangs, map[string]behaviour{"a1": connects})
		dial := func() string {
			conn, err := d.Dial(t.Context(), replica)
			is.NoErr(err)
			f, ok := conn.(*fakeConn)
			is.True(ok)
			is.NoErr(conn.Close())
			return f.host
		}
		is.Equal(dial(), "a1")
		time.Sleep(dialTimeout)
		for range 20 {
			began := time.Now()
			is.Equal(dial(), "a1")
			is.Equal(time.Since(began), time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(n.dials <= 4) // the first one, and one a second
		n.set(connects, map[string]behaviour{"a1": connects})
		time.Sleep(time.Second)
		is.Equal(dial(), "a1") // begins the direct dial in the background
		time.Sleep(dialTimeout)
		is.Equal(dial(), "")
		is.Equal(d.CountDown(), 0)
		is.Equal(n.openCount(), 0)
	})
}

// A replica that no host reaches must not be dialed by all hosts for each request.
func TestUnreachableReplicaIsNotAskedForAgainAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, d := newNetwork(refuses, map[string]behaviour{"a1": unreachable})
		for range 10 {
			_, err := d.Dial(t.Context(), replica)
			is.True(errors.Is(err, errDial))
		}
		is.Equal(n.askedCount("a1"), 1)
	})
}

// A host that did not answer or was busy is not asked for a second, for any replica.
func TestFailingRelayIsAvoided(t *testing.T) {
	t.Parallel()
	for _, b := range []behaviour{busy, hangs, refuses} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, d := newNetwork(refuses, map[string]behaviour{"a1": b, "b1": connects})
			for range 5 {
				conn, err := d.Dial(t.Context(), replica)
				is.NoErr(err)
				is.NoErr(conn.Close())
			}
			is.True(n.askedCount("a1") <= 1)
			is.Equal(n.askedCount("b1"), 5)
		})
	}
}

// For other hosts no third host is asked, and a link that is known to be down is not tried
// each time.
func TestDialForOthersIsDirect(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, d := newNetwork(hangs, map[string]behaviour{"a1": connects})
		conn, err := d.Dial(t.Context(), replica)
		is.NoErr(err)
		is.NoErr(conn.Close())
		time.Sleep(dialTimeout)
		asked := n.askedCount("a1")
		began := time.Now()
		_, err = d.DialFor(t.Context(), replica)
		var e *relay.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, relay.KindUnreachable)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(n.askedCount("a1"), asked)
	})
}

// A host that asks must learn of a silent replica before it takes the asked host for
// silent.
func TestDialForOthersOfSilentReplicaIsShort(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d := newNetwork(hangs, nil)
		began := time.Now()
		_, err := d.DialFor(t.Context(), replica)
		var e *relay.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, relay.KindUnreachable)
		is.Equal(time.Since(began), 100*time.Millisecond)
	})
}

// A relayed connection may last as long as the request that it is for.
func TestLifetimeIsThatOfTheRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, d := newNetwork(refuses, map[string]behaviour{"a1": connects})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		conn, err := d.Dial(ctx, replica)
		is.NoErr(err)
		is.NoErr(conn.Close())
		is.Equal(n.lifetimes, []time.Duration{5 * time.Second})
	})
}

// A host relays a bounded number of connections, to listed replicas only.
func TestConnectorIsBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, d := newNetwork(connects, nil)
		c := relay.NewConnector(d, func(address string) bool { return address == replica })
		_, err := c.Connect(t.Context(), "other:1")
		var e *relay.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, relay.KindUnreachable)
		var conns []net.Conn
		for {
			conn, err := c.Connect(t.Context(), replica)
			if err != nil {
				is.True(errors.As(err, &e))
				is.Equal(e.Kind, relay.KindBusy)
				break
			}
			conns = append(conns, conn)
		}
		is.Equal(len(conns), 512)
		is.NoErr(conns[0].Close())
		is.NoErr(conns[0].Close())
		is.Equal(c.Relayed(), 511)
		c.Stop()
		_, err = c.Connect(t.Context(), replica)
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, relay.KindBusy)
		is.Equal(c.Relayed(), 511)
	})
}
