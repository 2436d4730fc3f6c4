package accept

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"bulrushshed/intake"
)

const (
	// minPause and maxPause bound the pause after an error. It doubles with each further
	// error in a row.
	minPause = 5 * time.Millisecond
	maxPause = time.Second
)

// Options are the settings of a listener.
type Options struct {
	// Exhausted is called when no descriptor is left for a connection, before the next
	// attempt. It is to close idle connections. It may be nil.
	Exhausted func()
	Log       *slog.Logger
}

// Listener is a listener whose Accept continues after transient errors.
type Listener struct {
	net.Listener
	opts       Options
	closed     chan struct{}
	closeOnce  sync.Once
	logLimiter intake.LogLimiter
}

// NewListener returns a listener that accepts the connections of ln.
func NewListener(ln net.Listener, opts Options) *Listener {
	return &Listener{Listener: ln, opts: opts, closed: make(chan struct{})}
}

// Accept waits for the next connection and returns it. It fails only if the listener has
// been closed or cannot be used any more.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		conn, err := l.Listener.Accept()
		if err == nil || isPermanent(err) {
			return conn, err
		}
		if isExhausted(err) && l.opts.Exhausted != nil {
			l.opts.Exhausted()
		}
		pause := pauseAfter(failures)
		if omitted, ok := l.logLimiter.Allow("", time.Now()); ok {
			l.opts.Log.Warn("listener: accepting a connection failed", "address", l.Addr().String(), "cause", err.Error(),
				"failures", failures+1, "pause_ms", pause.Milliseconds(), "omitted", omitted)
		}
		select {
		case <-time.After(pause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener. It ends a pause.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// pauseAfter returns the pause after an error that followed a number of others.
func pauseAfter(failures int) time.Duration {
	pause := minPause
	for range failures {
		if pause = min(2*pause, maxPause); pause == maxPause {
			break
		}
	}
	return pause
}

// isPermanent reports whether an error states that the listener accepts nothing any more.
// An error that is not known is taken for a transient one.
func isPermanent(err error) bool {
	return isOneOf(err, net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP)
}

// isExhausted reports whether an error states that the process or the machine lacks
// descriptors or memory for another connection.
func isExhausted(err error) bool {
	return isOneOf(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

func isOneOf(err error, targets ...error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
