package hosted

import (
	"io"
	"sync/atomic"
)

// logLines is the number of log lines that may wait to be written.
const logLines = 4096

// lineWriter passes log lines on without ever blocking: what its reader can't
// keep up with is dropped and counted.
type lineWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

func newLineWriter(w io.Writer) *lineWriter {
	l := &lineWriter{lines: make(chan []byte, logLines), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			// There is nowhere left to tell that a log can't be written.
			_, _ = w.Write(line)
		}
	}()
	return l
}

// Write takes one line; slog hands each over in one call.
func (l *lineWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// flush ends the writer once all lines are written.
func (l *lineWriter) flush() {
	close(l.lines)
	<-l.done
}
