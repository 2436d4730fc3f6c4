package peer

import (
	"errors"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"bulrushshed/intake"
)

const (
	// firstMessageBuffer is the size of the first buffer of a message. Each further buffer is
	// twice as large.
	firstMessageBuffer = 4 << 10
	// messageTimeout bounds the time in which a message arrives.
	messageTimeout = 30 * time.Second
	// memoryPerMessage is the default memory of the messages that are being read or handled,
	// in messages of the largest size. One that grows to this size needs twice as much.
	memoryPerMessage = 4
	// evictedMessage is the error code with which a stream ends whose message was evicted.
	evictedMessage quic.StreamErrorCode = 2
)

// errNoMemory means that there is no memory for a message.
var errNoMemory = errors.New("no memory for the message")

// messageMemory is the account of a message that is being read or handled.
type messageMemory struct {
	ledger *intake.Ledger
	entry  intake.Entry
	stream *quic.Stream
}

var _ intake.Holder = (*messageMemory)(nil)

// Evict implements intake.Holder.
func (m *messageMemory) Evict(writing bool) {
	if writing {
		m.stream.CancelWrite(evictedMessage)
		return
	}
	m.stream.CancelRead(evictedMessage)
}

// open reserves the first buffer.
func (m *messageMemory) open() error {
	now := time.Now()
	return m.await(m.ledger.Open(&m.entry, m, firstMessageBuffer, now))
}

// close releases the memory.
func (m *messageMemory) close() { m.ledger.Close(&m.entry, time.Now()) }

// replace reserves a buffer of n bytes, and then returns the old one.
func (m *messageMemory) replace(old []byte, n int) ([]byte, error) {
	now := time.Now()
	m.ledger.Arrived(&m.entry, cap(old)/2, now)
	if err := m.await(m.ledger.Reserve(&m.entry, n, now)); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, n), old...)
	m.ledger.Return(&m.entry, cap(old), time.Now())
	return larger, nil
}

// await waits for the result of a reservation.
func (m *messageMemory) await(d intake.Decision) error {
	for d.Result == intake.Waiting {
		timer := time.NewTimer(time.Until(d.Until))
		select {
		case <-d.Ready:
		case <-timer.C:
		}
		timer.Stop()
		d = m.ledger.Await(&m.entry, time.Now())
	}
	if d.Result != intake.Granted {
		return errNoMemory
	}
	return nil
}

// readMessage reads a message to its end. Its memory is reserved before.
func (n *Node) readMessage(first byte, m *messageMemory) ([]byte, error) {
	if err := m.open(); err != nil {
		return nil, err
	}
	if err := m.stream.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return nil, err
	}
	buf := append(make([]byte, 0, firstMessageBuffer), first)
	for {
		read, err := m.stream.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+read]
		switch {
		case int64(len(buf)) > n.opts.MaxBytes:
			return nil, eris.Errorf("message exceeds %d bytes", n.opts.MaxBytes)
		case errors.Is(err, io.EOF):
			if !m.ledger.Complete(&m.entry) {
				return nil, errNoMemory
			}
			n.bytes.Add(int64(len(buf)))
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) == cap(buf):
			if buf, err = m.replace(buf, 2*cap(buf)); err != nil {
				return nil, err
			}
		}
	}
}
