package ingress

import (
	"cmp"
	"time"
)

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound the header fields and the body of a request. A server
	// may have a lower bound on the header.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection may wait for the first byte of a request.
	IdleTimeout time.Duration
}

// DefaultLimits returns the limits that apply where the configuration names none.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 32 << 10, BodyBytes: 8 << 20, HeaderTimeout: 20 * time.Second, IdleTimeout: 75 * time.Second}
}

// orDefault replaces limits that are zero or negative by the defaults.
func (l Limits) orDefault() Limits {
	d := DefaultLimits()
	return Limits{
		HeaderBytes: cmp.Or(max(l.HeaderBytes, 0), d.HeaderBytes), BodyBytes: cmp.Or(max(l.BodyBytes, 0), d.BodyBytes),
		HeaderTimeout: cmp.Or(max(l.HeaderTimeout, 0), d.HeaderTimeout), IdleTimeout: cmp.Or(max(l.IdleTimeout, 0), d.IdleTimeout),
	}
}
