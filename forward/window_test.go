package forward_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"bulrushshed/forward"
)

// countingReader counts the bytes that were read from a stream.
type countingReader struct {
	io.Reader
	read int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += n
	return n, err
}

// A caller that reads nothing must not make the host hold several large events.
func TestLargeEventsAreNotReadAhead(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		size int
		// maxRead is how many bytes of the stream may be read before the caller takes the
		// second event.
		maxRead int
	}{
		{"small", 100, 1 << 20},
		{"large", 200 << 10, 200<<10 + 8<<10 + 2*4096},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var text strings.Builder
				for id := 1; id <= 4; id++ {
					fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", c.size))
				}
				body := &countingReader{Reader: strings.NewReader(text.String())}
				f := newFixture(10)
				answer := func(context.Context, forward.Send) *forward.UpstreamResponse {
					return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(body), Signed: true}
				}
				f.upstream.streamBy["e0"], f.upstream.streamBy["e1"] = answer, answer
				resp := f.forwarder.Do(t.Context(), request("stream"))
				synctest.Wait()
				if body.read > c.maxRead {
					t.Errorf("got %d bytes read ahead of the caller, want at most %d", body.read, c.maxRead)
				}
				all, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(all), text.String())
				is.NoErr(resp.Body.Close())
			})
		})
	}
}
