package hosted

import (
	"context"
	"net"
	"time"

	"github.com/samber/lo"

	"bulrushshed/peer"
	"bulrushshed/relay"
)

// newDialer returns the dialer for connections to replicas, which relays them through the
// other hosts of the group where this host's own links are down.
func newDialer(h *Host, direct DirectDial) *relay.Dialer {
	return relay.NewDialer(relay.Options{
		FailureDomain: h.cfg.FailureDomain, Direct: direct, Via: h.dialVia, Hosts: h.relayHosts, Log: h.log,
	})
}

// relayHosts returns the other hosts of the group.
func (h *Host) relayHosts() []relay.Host {
	return lo.FilterMap(h.group.members(), func(p Peer, _ int) (relay.Host, bool) {
		return relay.Host{Address: p.PeerAddress, FailureDomain: p.FailureDomain}, p.PeerAddress != h.cfg.PeerAddress
	})
}

// relayedConn is a connection to a replica through another host.
type relayedConn struct {
	net.Conn
	// via is the address of that host.
	via string
}

// dialVia opens a connection to a replica through another host.
func (h *Host) dialVia(ctx context.Context, host, address string, lifetime time.Duration) (net.Conn, error) {
	conn, err := h.feed.node.Relay(ctx, host, peer.RelayRequest{Address: address, LifetimeMS: lifetime.Milliseconds()})
	if err != nil {
		return nil, err
	}
	return relayedConn{Conn: conn, via: host}, nil
}
