package daemon

import (
	"context"
	"errors"
	"time"

	"bulrushshed/claim"
	"bulrushshed/delivery"
	"bulrushshed/hostlog"
	"bulrushshed/outcome"
	"bulrushshed/peer"
)

// homeClient forwards calls to the homes of their keys. The home of an
// idempotency key is the entry host that issued it; only the home runs calls with
// that key.
type homeClient struct{ d *Daemon }

var _ delivery.HomeClient = homeClient{}

// Forward sends a call to its home. If forwarding fails, the outcome is
// unknown, because an earlier copy of the call may have run there.
func (h homeClient) Forward(ctx context.Context, home claim.Home, r delivery.Request) (outcome.Answer, error) {
	address, err := h.address(home)
	if err != nil {
		return outcome.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	remainingMS := time.Until(r.Deadline).Milliseconds()
	m := peer.Message{Kind: peer.KindForward, Forward: &peer.Forward{Request: r, RemainingMS: remainingMS}}
	reply, err := h.d.peerNode.Call(ctx, address, m)
	switch {
	case err != nil:
		return outcome.Answer{}, unknownOutcome(outcome.CauseHomeSilent, "calling the key's home failed: "+err.Error())
	case reply.Error != nil:
		return outcome.Answer{}, reply.Error
	case reply.Answer == nil:
		return outcome.Answer{}, unknownOutcome(outcome.CauseHomeSilent, "the key's home sent an empty reply")
	}
	return *reply.Answer, nil
}

// address returns the peer address of the home. It fails if the home is no
// longer in the directory, or has restarted since it issued the key.
func (h homeClient) address(home claim.Home) (string, error) {
	for _, s := range h.d.directory.View().Hosts {
		if s.Role != hostlog.RoleEntry || s.Name != home.Host {
			continue
		}
		if s.Incarnation > home.Incarnation {
			return "", unknownOutcome(outcome.CauseHomeGone, "the key's home has restarted since it issued the key")
		}
		return s.Peer, nil
	}
	return "", unknownOutcome(outcome.CauseHomeGone, "the key's home is no longer in the directory")
}

func unknownOutcome(cause outcome.Cause, message string) error {
	return &outcome.Error{Op: "forward", Kind: outcome.Unknown, Cause: cause, Message: message}
}

// Handle answers messages from other entry hosts.
func (d *Daemon) Handle(ctx context.Context, m peer.Message) peer.Reply {
	switch {
	case m.Kind == peer.KindForward && m.Forward != nil:
		return d.handleForward(ctx, *m.Forward)
	case m.Kind == peer.KindExchange && m.Exchange != nil:
		return peer.Reply{Exchange: d.exchanger().Answer(ctx, *m.Exchange, d.peerAddress(m.Exchange.From))}
	case m.Kind == peer.KindDemand && m.Demand != nil:
		return peer.Reply{Shares: d.grantShares(m.Demand)}
	case m.Kind == peer.KindPermit && m.Permit != nil:
		permit := d.limiter.Answer(*m.Permit, time.Now())
		return peer.Reply{Permit: &permit}
	case m.Kind == peer.KindRules:
		s, delta := d.follower.SnapshotSince(m.Have)
		return peer.Reply{Rules: &peer.Rules{Snapshot: s, Delta: delta}}
	case m.Kind == peer.KindJoin:
		return peer.Reply{Join: d.joinReply()}
	}
	return peer.Reply{Error: &outcome.Error{
		Op: "handle", Kind: outcome.Invalid, Cause: outcome.CauseInvalidField, Field: "kind", Message: "unknown message kind, or the kind's payload is missing",
	}}
}

func (d *Daemon) handleForward(ctx context.Context, f peer.Forward) peer.Reply {
	r := f.Request
	r.Deadline = time.Now().Add(time.Duration(f.RemainingMS) * time.Millisecond)
	key, ok := claim.ParseKey(r.Key)
	if !ok {
		return peer.Reply{Error: &outcome.Error{
			Op: "forward", Kind: outcome.Invalid, Cause: outcome.CauseKeyMissing, Field: "key", Message: "key was not issued by an entry host",
		}}
	}
	answer, err := d.deliverer.DeliverAtHome(ctx, key, r)
	if err == nil {
		return peer.Reply{Answer: &answer}
	}
	var o *outcome.Error
	if errors.As(err, &o) {
		return peer.Reply{Error: o}
	}
	return peer.Reply{Error: &outcome.Error{
		Op: "forward", Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer, Message: err.Error(),
	}}
}
