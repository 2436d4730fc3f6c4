package gossip

import (
	"context"
	"log/slog"
	"time"
)

// Sender sends exchanges to other hosts.
type Sender interface {
	// Exchange sends an exchange to the host at an address and returns its reply, or
	// nil if that host has nothing to send.
	Exchange(ctx context.Context, address string, x Exchange) (*Exchange, error)
}

// Exchanger keeps a table in sync with those of other hosts.
type Exchanger struct {
	Table  *Table
	Sender Sender
	// Apply applies items that this host did not have before. address is that of the
	// host that sent them, or "" if it is unknown.
	Apply func(ctx context.Context, items []Item, address string)
	Log   *slog.Logger
}

// Send sends an exchange to the host at an address and merges the items that it
// returns. If that host lacks items, too, they are sent in a second exchange. Send
// reports whether the host replied with all items that this host lacked.
func (e *Exchanger) Send(ctx context.Context, address string, x Exchange) (whole bool) {
	reply, err := e.Sender.Exchange(ctx, address, x)
	if err != nil {
		e.Log.Debug("gossip: exchange failed", "peer", address, "cause", err.Error())
		return false
	}
	if reply == nil {
		return true
	}
	e.Apply(ctx, e.Table.Merge(reply.Items, time.Now()), address)
	if reply.Digest == nil {
		return !reply.Partial
	}
	missing := e.Table.Differing(*reply.Digest, time.Now())
	if _, err := e.Sender.Exchange(ctx, address, missing); err != nil {
		e.Log.Debug("gossip: exchange failed", "peer", address, "cause", err.Error())
	}
	return !reply.Partial
}

// Answer merges the items of an exchange that the host at an address has sent, and
// returns the items that the host lacks, or nil if it asked for none.
func (e *Exchanger) Answer(ctx context.Context, x Exchange, address string) *Exchange {
	e.Apply(ctx, e.Table.Merge(x.Items, time.Now()), address)
	if x.Digest == nil {
		return nil
	}
	own := e.Table.DigestExchange()
	if *own.Digest == *x.Digest {
		return nil
	}
	reply := e.Table.Differing(*x.Digest, time.Now())
	reply.Digest = own.Digest
	return &reply
}
