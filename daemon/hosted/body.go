package hosted

import (
	"io"
	"sync"
)

// countedBody counts its request as served when it is closed.
type countedBody struct {
	io.ReadCloser
	host *Host
	once sync.Once
}

// Close ends the body.
func (b *countedBody) Close() error {
	b.once.Do(func() { b.host.present.Add(-1) })
	return b.ReadCloser.Close()
}
