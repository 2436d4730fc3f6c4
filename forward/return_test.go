package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/replica"
	"bulrushshed/route"
)

// All engines with the first layer are lost for a few seconds. Callers that are refused
// meanwhile come back once, when they are told to.
func TestRefusedCallersReturnAfterLostLayersAreBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const callers, interval, outage = 100, 10 * time.Millisecond, 3 * time.Second
		f := newFixture(10)
		lost := []replica.Replica{}
		for _, id := range []string{"e0", "e1"} {
			lost = append(lost, replica.Replica{
				ID: id, Service: "model", Address: id, FailureDomain: "a", Started: 2, Accelerator: "small", Layers: route.Range{From: 0, To: 2}, Slots: 8,
			})
			f.replicas.Remove(id, time.Now())
		}
		time.AfterFunc(outage, func() {
			for _, r := range lost {
				f.replicas.Put(r)
			}
		})
		served := make(chan bool, callers)
		for i := range callers {
			send := func(attempt int) (status int, retryAfter time.Duration) {
				req := request("stream")
				req.ID = fmt.Sprintf("caller-%d-%d", i, attempt)
				resp := f.forwarder.Do(t.Context(), req)
				defer func() { _ = resp.Body.Close() }()
				return resp.Status, resp.RetryAfter
			}
			go func() {
				status, retryAfter := send(1)
				if status == http.StatusServiceUnavailable {
					time.Sleep(retryAfter)
					status, _ = send(2)
				}
				served <- status == http.StatusOK
			}()
			time.Sleep(interval)
		}
		count := 0
		for range callers {
			if <-served {
				count++
			}
		}
		is.True(count >= callers/2)
	})
}
