package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes limits the size of an event. A stream with a larger one is broken.
const maxEventBytes = 1 << 18

var errEventTooLarge = fmt.Errorf("got an event of more than %d bytes", maxEventBytes)

// event is one event of a stream, including the blank line that ends it.
type event struct {
	bytes []byte
	// id is the number of the event; hasID is set if it has one.
	id    int64
	hasID bool
	// err is the end of the stream: io.EOF if the stream is complete.
	err error
}

// readEvents sends each event to out until the stream ends, and the end as the last
// one. It stops early when ctx ends.
func readEvents(ctx context.Context, body io.Reader, w *eventWindow, out chan<- update) {
	r := bufio.NewReaderSize(body, 4096)
	for {
		e := readEvent(ctx, r, w)
		w.add(len(e.bytes))
		select {
		case out <- update{event: e}:
		case <-ctx.Done():
			return
		}
		if e.err != nil {
			return
		}
	}
}

// readEvent reads up to the next blank line that ends an event. If the stream ends
// or breaks before that, err is set, and the bytes read so far are not an event.
func readEvent(ctx context.Context, r *bufio.Reader, w *eventWindow) event {
	var e event
	for {
		if e.bytes, e.err = w.grow(ctx, e.bytes, r.Size()); e.err != nil {
			return e
		}
		line, err := r.ReadSlice('\n')
		e.bytes = append(e.bytes, line...)
		switch {
		case len(e.bytes) > maxEventBytes:
			e.err = errEventTooLarge
			return e
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.bytes) > 0:
			e.err = io.ErrUnexpectedEOF
			return e
		case err != nil:
			e.err = err
			return e
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(e.bytes) > len(line) {
			return e
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id, err = strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64)
			e.hasID = err == nil
		}
	}
}
