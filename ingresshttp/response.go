package ingresshttp

import (
	"io"
	"time"
)

// queuedEvents is how many events of a stream a caller that does not read holds: the one
// being written, those that wait in the attempt's channel, and the one being read.
const queuedEvents = 6

// hold records that the response of a request holds n bytes.
func (m *requestMemory) hold(n int) { m.ledger.SetResponse(&m.entry, n, time.Now()) }

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

// Read reads from the stream. It reserves the memory of the largest event for all events
// that the stream may hold.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	size := n
	if rest, ok := b.ReadCloser.(interface{ Pending() int }); ok {
		size += rest.Pending()
	}
	if size > b.largest {
		b.largest = size
		b.memory.hold(queuedEvents * size)
	}
	return n, err
}

// Close closes the body and then calls release.
func (b *streamBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
