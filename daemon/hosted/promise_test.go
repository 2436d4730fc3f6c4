package hosted_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// answerTo sends a request and returns the status and the signature of the response.
func (h *entryHost) answerTo(t *testing.T, path, id string) (status int, signature string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.cfg.CallerAddress+path, nil)
	is.New(t).NoErr(err)
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer k1")
	req.Header.Set("X-Bulrushshed-Attempt-Id", id)
	resp, err := client.Do(req)
	is.New(t).NoErr(err)
	is.New(t).NoErr(resp.Body.Close())
	return resp.StatusCode, resp.Header.Get("X-Bulrushshed-Server-Seal")
}

// Guards against an answer that promises that a request did not run though its replica ran
// it: callers then sent bookings again, which ran twice.
func TestStatusOfFailureAfterRunPromisesNothing(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	direct, relaying := f.hosts[0], f.hosts[1]
	relaying.links.set(cutRefusing)
	await(t, "responses through the other host", func() bool { return servedEverything(t, relaying) })
	all := append(append([]*replicaStandIn{}, f.plain...), f.engines...)
	runs := func() (n int) {
		for _, r := range all {
			n += r.callCount()
		}
		return n
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, r := range all {
			r.set(func(r *replicaStandIn) { r.failureStatus = status })
		}
		for name, h := range map[string]*entryHost{"direct": direct, "relayed": relaying} {
			for _, path := range []string{"/confirm/1", "/stock/1", "/draft/1"} {
				is := is.New(t)
				before := runs()
				got, signature := h.answerTo(t, path, fmt.Sprintf("%d%s%s", status, name, path))
				is.Equal(got, http.StatusBadGateway)
				is.Equal(signature, "") // the status is not the replica's
				is.True(runs() > before)
				is.True(path != "/confirm/1" || runs() == before+1) // it may run once
			}
		}
	}
}
