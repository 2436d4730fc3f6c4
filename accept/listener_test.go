package accept_test

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/accept"
)

// failingListener returns its errors, and then one connection at each Accept.
type failingListener struct {
	errs   []error
	closed chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		server, _ := net.Pipe()
		return server, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *failingListener) Close() error   { close(l.closed); return nil }
func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// acceptError returns an error as the runtime wraps those of accept.
func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// An error that concerns one connection, or that ends once descriptors are free, must not
// end the listener: the process would end with it.
func TestTransientErrorsDoNotEndTheListener(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		err       error
		exhausted bool
	}{
		{acceptError(syscall.EMFILE), true},
		{acceptError(syscall.ENFILE), true},
		{acceptError(syscall.ENOBUFS), true},
		{acceptError(syscall.ENOMEM), true},
		{acceptError(syscall.ECONNABORTED), false},
		{acceptError(syscall.EPROTO), false},
		{acceptError(syscall.EPERM), false},
		{errors.New("not known"), false},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				exhausted := 0
				inner := &failingListener{errs: []error{c.err, c.err, c.err}, closed: make(chan struct{})}
				l := accept.NewListener(inner, accept.Options{Exhausted: func() { exhausted++ }, Log: slog.New(slog.DiscardHandler)})
				began := time.Now()
				conn, err := l.Accept()
				is.NoErr(err)
				is.NoErr(conn.Close())
				is.Equal(time.Since(began), (5+10+20)*time.Millisecond)
				is.Equal(exhausted > 0, c.exhausted)
			})
		})
	}
}

// Without a bound on the pause a listener would stay away long after descriptors are free;
// without a pause it would use up the processor meanwhile.
func TestPauseIsBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := &failingListener{closed: make(chan struct{})}
		for range 100 {
			inner.errs = append(inner.errs, acceptError(syscall.EMFILE))
		}
		l := accept.NewListener(inner, accept.Options{Log: slog.New(slog.DiscardHandler)})
		began := time.Now()
		_, err := l.Accept()
		is.NoErr(err)
		// 5 ms to 640 ms, and then 1 s for each of the others.
		is.Equal(time.Since(began), 1275*time.Millisecond+92*time.Second)
		inner.errs = []error{acceptError(syscall.EMFILE)}
		began = time.Now()
		_, err = l.Accept()
		is.NoErr(err)
		is.Equal(time.Since(began), 5*time.Millisecond) // a connection resets the pause
	})
}

// A listener that cannot recover must say so, as the host would otherwise stay up without
// accepting anything.
func TestPermanentErrorsEndTheListener(t *testing.T) {
	t.Parallel()
	for _, want := range []error{net.ErrClosed, fmt.Errorf("accept: %w", net.ErrClosed), acceptError(syscall.EBADF), acceptError(syscall.EINVAL)} {
		t.Run(want.Error(), func(t *testing.T) {
			t.Parallel()
			inner := &failingListener{errs: []error{want}, closed: make(chan struct{})}
			_, err := accept.NewListener(inner, accept.Options{Log: slog.New(slog.DiscardHandler)}).Accept()
			is.New(t).True(errors.Is(err, want))
		})
	}
}

func TestCloseEndsAPause(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := &failingListener{closed: make(chan struct{})}
		for range 1000 {
			inner.errs = append(inner.errs, acceptError(syscall.EMFILE))
		}
		l := accept.NewListener(inner, accept.Options{Log: slog.New(slog.DiscardHandler)})
		done := make(chan error)
		go func() {
			_, err := l.Accept()
			done <- err
		}()
		time.Sleep(20 * time.Second)
		is.NoErr(l.Close())
		is.True(errors.Is(<-done, net.ErrClosed))
	})
}
