package hosted

import (
	"io"
	"sync/atomic"
)

// logBufferLines is the capacity, in lines, of the log buffer.
const logBufferLines = 4096

// lineWriter writes log lines asynchronously and never blocks the caller. Lines
// that do not fit into its buffer are dropped and counted.
type lineWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

func newLineWriter(w io.Writer) *lineWriter {
	l := &lineWriter{lines: make(chan []byte, logBufferLines), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			// A failure to write the log cannot be reported anywhere.
			_, _ = w.Write(line)
		}
	}()
	return l
}

// Write queues one line. slog passes each line in a single call.
func (l *lineWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// close writes all queued lines and stops the writer. No Write may follow.
func (l *lineWriter) close() {
	close(l.lines)
	<-l.done
}
