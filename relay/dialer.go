package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"
)

const (
	// directHeadStart is how long a direct dial may take before another host is asked, and
	// cutHeadStart how long once several links are down.
	directHeadStart = 30 * time.Millisecond
	cutHeadStart    = 5 * time.Millisecond
	// minDownLinks is the number of links down from which on this host counts as cut from
	// the replicas.
	minDownLinks = 3
	// maxHostsAsked is the number of hosts that are asked for one connection, and askTimeout
	// bounds the answer of each.
	maxHostsAsked = 3
	askTimeout    = 150 * time.Millisecond
	// dialForTimeout bounds a dial for another host, which must learn before askTimeout
	// that it failed.
	dialForTimeout = 100 * time.Millisecond
)

// Host is a host that can be asked to connect to a replica.
type Host struct {
	// Address is the address at which it answers other hosts.
	Address       string
	FailureDomain string
}

// Options configures a Dialer.
type Options struct {
	// FailureDomain is that of this host. Hosts in it are asked first.
	FailureDomain string
	// Direct opens a connection without a relay.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Via opens a connection through the host at an address. It may last for the given
	// lifetime, or if that is 0 for as long as the host allows.
	Via func(ctx context.Context, host, address string, lifetime time.Duration) (net.Conn, error)
	// Hosts returns all other hosts.
	Hosts func() []Host
	Log   *slog.Logger
}

// Dialer opens connections to replicas. It is safe for concurrent use.
type Dialer struct {
	opts  Options
	links *linkTable
	hosts *hostTable
}

// NewDialer returns a dialer that takes all links for sound.
func NewDialer(o Options) *Dialer {
	return &Dialer{opts: o, links: newLinkTable(), hosts: newHostTable()}
}

// DownSince returns since when this host reaches a replica only through other hosts; ok is
// false if it reaches it directly, as far as it knows.
func (d *Dialer) DownSince(address string) (since time.Time, ok bool) {
	l := d.links.state(address, time.Now())
	return l.downSince, l.down
}

// CountDown returns the number of replicas that this host reaches only through others.
func (d *Dialer) CountDown() int { return d.links.countDown() }

// dialResult is the result of one way to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// Dial opens a connection to a replica, directly or through another host. If it fails, no
// byte was sent.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	now := time.Now()
	l := d.links.state(address, now)
	if now.Before(l.unreachableUntil) {
		return d.dialDirect(ctx, address)
	}
	if l.down {
		if d.links.startProbe(address, now) {
			go d.probe(address)
		}
		if conn, err := d.dialVia(ctx, address); err == nil {
			return conn, nil
		}
		return d.dialDirect(ctx, address)
	}
	return d.race(ctx, address)
}

// DialFor opens a connection to a replica for another host. It does not relay, and fails
// at once if this host's own link is known to be down.
func (d *Dialer) DialFor(ctx context.Context, address string) (net.Conn, error) {
	now := time.Now()
	if d.links.state(address, now).down && !d.links.startProbe(address, now) {
		return nil, &Error{Op: "dial", Kind: KindUnreachable}
	}
	ctx, cancel := context.WithTimeout(ctx, dialForTimeout)
	defer cancel()
	conn, err := d.dialDirect(ctx, address)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Cause: err}
	}
	return conn, nil
}

// dialDirect opens a connection without a relay.
func (d *Dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.opts.Direct(ctx, address)
	if err == nil {
		d.markUp(address)
	}
	return conn, err
}

// probe finds out whether a link that was down is up again.
func (d *Dialer) probe(address string) {
	if conn, err := d.dialDirect(context.Background(), address); err == nil {
		_ = conn.Close()
	}
}

// race dials directly and, if that fails or takes long, also through another host. The
// connection that is established first is returned; the other one is closed unused.
func (d *Dialer) race(ctx context.Context, address string) (net.Conn, error) {
	direct := make(chan dialResult, 1)
	go func() {
		conn, err := d.dialDirect(ctx, address)
		direct <- dialResult{conn, err}
	}()
	headStart := time.NewTimer(d.headStart())
	defer headStart.Stop()
	select {
	case r := <-direct:
		if r.err == nil || ctx.Err() != nil {
			return r.conn, r.err
		}
		direct <- r
	case <-headStart.C:
	}
	if len(d.candidates(time.Now())) == 0 {
		r := <-direct
		return r.conn, r.err
	}
	via := make(chan dialResult, 1)
	go func() {
		conn, err := d.dialVia(ctx, address)
		via <- dialResult{conn, err}
	}()
	return d.first(ctx, address, direct, via)
}

func (d *Dialer) headStart() time.Duration {
	if d.links.countDown() >= minDownLinks {
		return cutHeadStart
	}
	return directHeadStart
}

// first returns the connection that is established first, and learns the state of the link
// from both results.
func (d *Dialer) first(ctx context.Context, address string, direct, via <-chan dialResult) (net.Conn, error) {
	select {
	case r := <-via:
		if r.err != nil {
			r = <-direct
			d.markUnreachable(ctx, address, r.err)
			return r.conn, r.err
		}
		d.markDown(ctx, address, errOvertaken)
		go closeUnused(direct)
		return r.conn, nil
	case r := <-direct:
		if r.err == nil {
			go closeUnused(via)
			return r.conn, nil
		}
		other := <-via
		if other.err != nil {
			d.markUnreachable(ctx, address, r.err)
			return nil, r.err
		}
		d.markDown(ctx, address, r.err)
		return other.conn, nil
	}
}

// errOvertaken is why a link is taken for down whose direct dial has not ended. If that
// succeeds after all, the link is up again.
var errOvertaken = errors.New("relayed connection was established first")

// closeUnused closes a connection that another one has overtaken.
func closeUnused(result <-chan dialResult) {
	if r := <-result; r.err == nil {
		_ = r.conn.Close()
	}
}

// markDown records that a direct dial has failed, or takes long, where a relayed one
// succeeded. One that its request has ended tells nothing.
func (d *Dialer) markDown(ctx context.Context, address string, cause error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	before := d.links.update(address, now, func(l *link) {
		if !l.down {
			l.downSince = now
		}
		l.down = true
		l.probedAt = now
	})
	if !before.down {
		d.opts.Log.Warn("relay: link is down, replica reached through other hosts", "address", address, "cause", cause.Error())
	}
}

// markUp records that a direct dial has succeeded.
func (d *Dialer) markUp(address string) {
	if l := d.links.state(address, time.Now()); !l.down && l.unreachableUntil.IsZero() {
		return
	}
	before := d.links.update(address, time.Now(), func(l *link) { *l = link{usedAt: l.usedAt} })
	if before.down {
		d.opts.Log.Info("relay: link is up again", "address", address)
	}
}

// markUnreachable records that no host reaches a replica.
func (d *Dialer) markUnreachable(ctx context.Context, address string, err error) {
	if ctx.Err() != nil || err == nil {
		return
	}
	now := time.Now()
	d.links.update(address, now, func(l *link) { l.unreachableUntil = now.Add(unreachableTTL) })
}

// dialVia opens a connection through one of the other hosts.
func (d *Dialer) dialVia(ctx context.Context, address string) (net.Conn, error) {
	var last error
	var lifetime time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		lifetime = time.Until(deadline)
	}
	for _, host := range d.candidates(time.Now()) {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		conn, err := d.opts.Via(askCtx, host.Address, address, lifetime)
		cancel()
		if err == nil {
			d.hosts.recordSuccess(host.Address, time.Now())
			return conn, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		d.hosts.recordFailure(host.Address, err, time.Now())
		d.opts.Log.Debug("relay: host could not connect to a replica", "host_asked", host.Address, "address", address, "cause", err.Error())
	}
	return nil, &Error{Op: "dial", Kind: KindNoHost, Cause: last}
}

// candidates returns the hosts to ask, in order.
func (d *Dialer) candidates(now time.Time) []Host {
	hosts := d.hosts.order(d.opts.Hosts(), d.opts.FailureDomain, now)
	return hosts[:min(len(hosts), maxHostsAsked)]
}
