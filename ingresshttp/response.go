package ingresshttp

import (
	"context"
	"io"
	"time"

	"bulrushshed/forward"
	"bulrushshed/loop"
)

const (
	// queuedEvents is how many further events are read while a caller takes one: those that
	// wait in the attempt's channel, and the one being read.
	queuedEvents = 5
	// queuedEventBytes is how much of each of them is read.
	queuedEventBytes = 8 << 10
)

// hold records that the response of a request holds n bytes.
func (m *requestMemory) hold(n int) { m.ledger.SetResponse(&m.entry, n, time.Now()) }

// responseRetryInterval is the interval at which an answer that waits for memory asks again.
const responseRetryInterval = 20 * time.Millisecond

var _ forward.Memory = (*requestMemory)(nil)

// AwaitResponse implements forward.Memory.
func (m *requestMemory) AwaitResponse(ctx context.Context, n int) error {
	for ctx.Err() == nil {
		if m.ledger.GrowResponse(&m.entry, n, time.Now()) {
			return nil
		}
		loop.SleepContext(ctx, responseRetryInterval)
	}
	return ctx.Err()
}

// streamBody is the body of a stream. It ends the context and the watch of its request when
// it is closed.
type streamBody struct {
	io.ReadCloser
	memory  *requestMemory
	release func()
	// largest is the size of the largest event so far, whose memory is reserved.
	largest int
}

func newStreamBody(body io.ReadCloser, m *requestMemory, release func()) *streamBody {
	return &streamBody{ReadCloser: body, memory: m, release: release}
}

// Read reads from the stream. It reserves the memory of the events that the stream may hold
// if they are as large as the largest one so far.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	size := n
	if rest, ok := b.ReadCloser.(interface{ Pending() int }); ok {
		size += rest.Pending()
	}
	if size > b.largest {
		b.largest = size
		b.memory.hold(size + queuedEvents*min(size, queuedEventBytes))
	}
	return n, err
}

// Close closes the body and then calls release.
func (b *streamBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
