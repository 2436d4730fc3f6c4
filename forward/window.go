package forward

import (
	"context"
	"slices"
	"sync"
)

// smallEventBytes is the size up to which events are read ahead of the caller.
const smallEventBytes = 8 << 10

// eventGrowth is the factor by which the buffer of a large event grows.
const eventGrowth = 4

// eventWindow bounds the bytes of events that a stream holds: while the caller has not taken
// the events before it, no more than smallEventBytes of an event are read. A caller that
// reads nothing would otherwise make the host hold as many large events as the channel
// between reader and caller has places.
type eventWindow struct {
	// request is the one whose memory large events take.
	request *Request

	mu   sync.Mutex
	held int
	// taken is closed when no bytes are held any more. It is nil while nobody waits.
	taken chan struct{}
}

// grow makes room for more bytes of an event, for which it waits if the event is large.
func (w *eventWindow) grow(ctx context.Context, event []byte, more int) ([]byte, error) {
	if len(event)+more <= max(cap(event), smallEventBytes) {
		return event, nil
	}
	if err := w.await(ctx); err != nil {
		return event, err
	}
	size := min(max(eventGrowth*cap(event), len(event)+more), maxEventBytes+more)
	if err := w.request.awaitMemory(ctx, size); err != nil {
		return event, err
	}
	return slices.Grow(event, size-len(event)), nil
}

// add counts the bytes of an event that is passed on to the caller.
func (w *eventWindow) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held += n
}

// release counts bytes that the caller has taken.
func (w *eventWindow) release(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held -= n; w.held <= 0 && w.taken != nil {
		close(w.taken)
		w.taken = nil
	}
}

// await waits until the caller has taken all events.
func (w *eventWindow) await(ctx context.Context) error {
	w.mu.Lock()
	if w.held <= 0 {
		w.mu.Unlock()
		return nil
	}
	if w.taken == nil {
		w.taken = make(chan struct{})
	}
	taken := w.taken
	w.mu.Unlock()
	select {
	case <-taken:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
