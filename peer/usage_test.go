package peer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"bulrushshed/peer"
)

// Reports are sent several times a second to each host, so a message must not add much to
// them. Package usage counts 60 bytes for it and the headers of the packet.
func TestUsageMessageIsSmall(t *testing.T) {
	t.Parallel()
	const maxOverhead = 25
	for _, size := range []int{14, 14 + 33*5, 14 + 130*5} {
		body, err := cbor.Marshal(peer.Message{Kind: peer.KindUsage, Usage: make([]byte, size)})
		if err != nil {
			t.Fatal(err)
		}
		if got := len(body) - size; got > maxOverhead {
			t.Errorf("got %d bytes around a report of %d, want at most %d", got, size, maxOverhead)
		}
	}
}
