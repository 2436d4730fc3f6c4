package ingresshttp

import (
	"net"
	"os"
	"time"

	"bulrushshed/intake"
)

// requestMemory is the account of a connection's request in the ledger.
type requestMemory struct {
	ledger *intake.Ledger
	entry  intake.Entry
	// refused is set if there is no memory for the request.
	refused bool
}

// reserve reserves n more bytes and waits for them if necessary. It returns how long it has
// waited, and false if the request must be refused.
func (m *requestMemory) reserve(n int) (waited time.Duration, ok bool) {
	now := time.Now()
	return m.await(m.ledger.Reserve(&m.entry, n, now), now)
}

// await waits for the result of a reservation that was made at the given time.
func (m *requestMemory) await(d intake.Decision, began time.Time) (waited time.Duration, ok bool) {
	if d.Result != intake.Waiting {
		return 0, d.Result == intake.Granted
	}
	for d.Result == intake.Waiting {
		timer := time.NewTimer(time.Until(d.Until))
		select {
		case <-d.Ready:
		case <-timer.C:
		}
		timer.Stop()
		d = m.ledger.Await(&m.entry, time.Now())
	}
	return time.Since(began), d.Result == intake.Granted
}

// beginRequest reserves the read buffer of a request, whose first byte has been read. If
// there is no memory, the request is refused once its header has been read.
func (s *Server) beginRequest(conn *watchedConn) {
	m := &conn.memory
	m.ledger = s.opts.Ledger
	conn.evicted.Store(false)
	conn.writeEvicted.Store(false)
	now := time.Now()
	_, ok := m.await(m.ledger.Open(&m.entry, conn, maxHeaderBytes, now), now)
	m.refused = !ok
}

// endRequest releases the memory of a request.
func (c *watchedConn) endRequest() {
	if c.memory.ledger != nil {
		c.memory.ledger.Close(&c.memory.entry, time.Now())
	}
}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

var _ intake.Holder = (*watchedConn)(nil)

// Evict implements intake.Holder.
func (c *watchedConn) Evict(writing bool) {
	if writing {
		c.writeEvicted.Store(true)
		_ = c.SetWriteDeadline(past)
		return
	}
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(past)
}

// SetReadDeadline sets the deadline of reads, unless the request is evicted and its reads
// must end.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() {
		err = c.Conn.SetReadDeadline(past)
	}
	return err
}

// beginWrite sets the deadline of a write and records that it begins.
func (c *watchedConn) beginWrite() error {
	if c.memory.ledger != nil {
		c.memory.ledger.BeginWrite(&c.memory.entry, time.Now())
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if c.writeEvicted.Load() {
		return &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
	}
	return nil
}

// endWrite records that a write has ended.
func (c *watchedConn) endWrite() {
	if c.memory.ledger != nil {
		c.memory.ledger.EndWrite(&c.memory.entry)
	}
}
