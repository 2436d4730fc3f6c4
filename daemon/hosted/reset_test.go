package hosted_test

import (
	"bytes"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// uploadBytes is the size of a body that no connection buffers as a whole.
const uploadBytes = 7 << 20

// upload sends a request with a long body and returns the status of the answer, or 0.
func (h *entryHost) upload(t *testing.T, path string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.cfg.CallerAddress+path, bytes.NewReader(make([]byte, uploadBytes)))
	is.New(t).NoErr(err)
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer k1")
	req.Header.Set("X-Bulrushshed-Attempt-Id", strconv.FormatInt(requestIDs.Add(1), 16))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	is.New(t).NoErr(resp.Body.Close())
	return resp.StatusCode
}

// Guards against a part of an answer that passes for all of it, at the host that sends the
// request and at one that relays it: replicas answer a long upload at once, without a length,
// and reset the connection while it is written.
func TestAnswerThatIsResetDuringTheUploadIsNotPassedOn(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	f.hosts[1].links.set(cutRefusing)
	await(t, "responses through the other host", func() bool { return servedEverything(t, f.hosts[1]) })
	for _, r := range f.plain {
		r.set(func(r *replicaStandIn) {
			r.rawAnswer = "HTTP/1.1 200 OK\r\nX-Bulrushshed-Server-Seal: " + r.id + "\r\n\r\npart"
		})
	}
	for range 40 {
		for _, h := range f.hosts {
			is.New(t).Equal(h.upload(t, "/confirm/1"), http.StatusBadGateway)
		}
	}
}
