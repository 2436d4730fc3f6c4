package overload_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// reconnectDelay is the time after which a misbehaving client connects again once
	// its connection has been closed.
	reconnectDelay = 200 * time.Millisecond
	connectTimeout = 5 * time.Second
	// chunkBytes is the size of large chunks.
	chunkBytes = 64 << 10
	// oneByteChunks is the number of chunks of one byte that a client sends in a body. Each
	// takes 6 bytes on the wire.
	oneByteChunks = 530 << 10
	// silentClients is the number of connections that send nothing.
	silentClients = 360
)

// front is an HTTP address of a process, and what a request to it must have.
type front struct {
	address string
	// head has the request line and the header fields of a POST that may have a body,
	// without the blank line at the end.
	head string
	// maxBody is the largest body that the address accepts.
	maxBody int
}

// client uses one connection of a misbehaving client. It returns when the connection has
// ended; ctx ends with the attack, which also closes the connection.
type client func(ctx context.Context, conn net.Conn)

// clientSet is n clients of the same kind.
type clientSet struct {
	n   int
	run client
	// receiveBuffer is the size of the kernel's receive buffer, or 0 for its default.
	receiveBuffer int
}

// attack runs sets of clients until stop is called. A client whose connection ends
// connects again. stop returns when all clients have ended.
func attack(t *testing.T, address string, sets ...clientSet) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, set := range sets {
		for range set.n {
			wg.Go(func() { set.repeat(ctx, address) })
		}
	}
	stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	t.Cleanup(stop)
	return stop
}

func (s clientSet) repeat(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if conn, err := s.dialer().DialContext(ctx, "tcp", address); err == nil {
			closed := context.AfterFunc(ctx, func() { _ = conn.Close() })
			s.run(ctx, conn)
			closed()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

func (s clientSet) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: connectTimeout}
	if s.receiveBuffer > 0 {
		// The size must be set before the connection announces a larger window.
		d.Control = func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.receiveBuffer)
			})
			if err != nil {
				return err
			}
			return failure
		}
	}
	return d
}

// awaitClose reads and discards what the server sends until the connection ends.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// send writes the pieces one after the other, and then keeps the connection open until
// the server closes it.
func send(conn net.Conn, pieces ...[]byte) {
	for _, p := range pieces {
		if _, err := conn.Write(p); err != nil {
			return
		}
	}
	awaitClose(conn)
}

// chunks returns the encoding of size bytes in chunks of the given length, without the
// chunk that ends a body.
func chunks(size, length int) []byte {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", length, bytes.Repeat([]byte("x"), length))
	return bytes.Repeat(chunk, size/length)
}

func (f front) chunkedHead() []byte { return []byte(f.head + "Transfer-Encoding: chunked\r\n\r\n") }

func (f front) announcedHead(size int) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", f.head, size)
}

// stalledBodies returns clients that send a chunked body of size bytes without its end,
// and keep it open.
func (f front) stalledBodies(n, size, length int) clientSet {
	head, body := f.chunkedHead(), chunks(size, length)
	return clientSet{n: n, run: func(_ context.Context, conn net.Conn) { send(conn, head, body) }}
}

// announcedBodies returns clients that announce a body of one size and send sent bytes of
// it.
func (f front) announcedBodies(n, announced, sent int) clientSet {
	head, body := f.announcedHead(announced), bytes.Repeat([]byte("x"), sent)
	return clientSet{n: n, run: func(_ context.Context, conn net.Conn) { send(conn, head, body) }}
}

// completeBodies returns clients that send one complete body of the largest size and keep
// the connection open. At most atOnce of them are sending or waiting for the answer.
func (f front) completeBodies(n, atOnce int) clientSet {
	request := append(f.announcedHead(f.maxBody), bytes.Repeat([]byte("x"), f.maxBody)...)
	slots := make(chan struct{}, atOnce)
	return clientSet{n: n, run: func(ctx context.Context, conn net.Conn) {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		_, err := conn.Write(request)
		if err == nil {
			// The first byte of the answer tells that the request has ended.
			_, err = conn.Read(make([]byte, 1))
		}
		<-slots
		if err == nil {
			awaitClose(conn)
		}
	}}
}

// slowHeaders returns clients that send a header line from time to time, without end, and
// endlessHeaders clients that do so as fast as they can.
func (f front) slowHeaders(n int) clientSet    { return f.headers(n, 300*time.Millisecond) }
func (f front) endlessHeaders(n int) clientSet { return f.headers(n, 0) }

func (f front) headers(n int, delay time.Duration) clientSet {
	line := append([]byte("X-Filler: "), bytes.Repeat([]byte("x"), 200)...)
	line = append(line, "\r\n"...)
	return clientSet{n: n, run: func(ctx context.Context, conn net.Conn) {
		_, err := conn.Write([]byte(f.head))
		for err == nil && ctx.Err() == nil {
			time.Sleep(delay)
			_, err = conn.Write(line)
		}
	}}
}

// silentConnections returns clients that send nothing.
func silentConnections(n int) clientSet {
	return clientSet{n: n, run: func(_ context.Context, conn net.Conn) { awaitClose(conn) }}
}

// requesters send a request again and again, and read the answers.
func requesters(n int, request string) clientSet {
	return clientSet{n: n, run: func(_ context.Context, conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
			_ = resp.Body.Close()
		}
	}}
}

// nonReaders returns clients that send a request and never read its answer. The small
// receive buffer leaves the answer to the sender. As they do not read, they do not notice
// that a connection is closed, and do not connect again.
func nonReaders(n int, request string) clientSet {
	const receiveBuffer = 4 << 10
	return clientSet{n: n, receiveBuffer: receiveBuffer, run: func(ctx context.Context, conn net.Conn) {
		if _, err := conn.Write([]byte(request)); err != nil {
			return
		}
		<-ctx.Done()
	}}
}
