package daemon

import (
	"context"
	"net"
	"time"

	"github.com/samber/lo"

	"bulrushshed/directory"
	"bulrushshed/hostlog"
	"bulrushshed/peer"
	"bulrushshed/relay"
)

// DirectDial opens the connections of a host to engines and services.
type DirectDial func(ctx context.Context, address string) (net.Conn, error)

// newDialer returns the dialer for connections to engines and services, which relays them
// through the other entry hosts where this host's own links are down.
func newDialer(d *Daemon, direct DirectDial) *relay.Dialer {
	return relay.NewDialer(relay.Options{
		FailureDomain: d.cfg.FailureDomain, Direct: direct, Via: d.dialVia, Hosts: d.relayHosts, Log: d.log,
	})
}

// relayHosts returns the other entry hosts.
func (d *Daemon) relayHosts() []relay.Host {
	return lo.FilterMap(d.directory.View().Entries, func(h hostlog.Host, _ int) (relay.Host, bool) {
		return relay.Host{Address: h.Peer, FailureDomain: h.FailureDomain}, h.Name != d.self.Host
	})
}

// dialVia opens a connection to an endpoint through another host.
func (d *Daemon) dialVia(ctx context.Context, host, address string, lifetime time.Duration) (net.Conn, error) {
	return d.peerNode.Relay(ctx, host, peer.RelayRequest{Address: address, LifetimeMS: lifetime.Milliseconds()})
}

// isEndpoint reports whether an engine or a service replica is listed at an address.
func (d *Daemon) isEndpoint(address string) bool {
	return lo.ContainsBy(d.directory.View().Hosts, func(h directory.HostStatus) bool {
		return h.Address == address && h.Role != hostlog.RoleEntry
	})
}
