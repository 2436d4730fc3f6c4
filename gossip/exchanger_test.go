package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/gossip"
)

// directSender passes exchanges to another host.
type directSender struct{ to *gossip.Exchanger }

func (s directSender) Exchange(ctx context.Context, _ string, x gossip.Exchange) (*gossip.Exchange, error) {
	return s.to.Answer(ctx, x, ""), nil
}

// Guards against a host that counts the first part of another host's items as all of them: it
// then passes on requests that the others know to crash replicas.
func TestPartOfTheItemsIsNotAll(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	opts := gossip.Options{MaxBytes: 1 << 10, RetransmitFactor: 1}
	const items = 200
	full := gossip.NewTable(opts)
	for n := range items {
		full.Put(gossip.Item{Key: fmt.Sprint("key", n), Stamp: 1, TTLMS: 60_000}, time.Now())
	}
	discard := func(context.Context, []gossip.Item, string) {}
	other := &gossip.Exchanger{Table: full, Apply: discard, Log: slog.New(slog.DiscardHandler)}
	starting := &gossip.Exchanger{Table: gossip.NewTable(opts), Sender: directSender{other}, Apply: discard, Log: slog.New(slog.DiscardHandler)}
	whole := false
	for n := 0; n < items && !whole; n++ {
		whole = starting.Send(t.Context(), "", starting.Table.DigestExchange())
	}
	is.True(whole)
	is.Equal(starting.Table.Len(), items)
}
