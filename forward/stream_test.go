package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/forward"
	"bulrushshed/replica"
	"bulrushshed/route"
)

// splitEvents returns the numbers of events.
func splitEvents(text string) iter.Seq[int] {
	return func(yield func(int) bool) {
		for part := range strings.SplitSeq(text, "\n\n") {
			var id int
			if n, _ := fmt.Sscanf(part, "id: %d", &id); n == 1 && !yield(id) {
				return
			}
		}
	}
}

func upTo(n int) []int {
	var all []int
	for i := 1; i <= n; i++ {
		all = append(all, i)
	}
	return all
}

func TestAStreamIsWholeAndInOrder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(10)
		ids, err := read(t, w.forwarder.Do(t.Context(), request("stream")))
		is.NoErr(err)
		is.Equal(ids, upTo(events))
		is.Equal(len(w.upstream.sent()), 1)
	})
}

// The second engine of the path vanishes without a word: the stream moves to
// the other one that holds its layers, and the first engine goes on.
func TestAStreamMovesOffAnEngineThatIsGone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(10)
		resp := w.forwarder.Do(t.Context(), request("stream"))
		w.upstream.lose(w.upstream.sent()[0].Path.Hops[1].Address)
		ids, err := read(t, resp)
		is.NoErr(err)
		is.Equal(ids, upTo(events))
		is.Equal(w.upstream.moves, 1)
		is.Equal(len(w.upstream.sent()), 1) // the attempt itself goes on
	})
}

// Many engines that go at once are told from a host that is cut off from all of
// them: streams move off the former, and are left alone on the latter.
func TestManyEnginesThatGoAtOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		all   bool
		moves bool
	}{{"some engines", false, true}, {"all engines", true, false}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(0)
			w.replaceEngines(3)
			var responses []*forward.Response
			for i := range 2 {
				req := request("stream")
				req.ID = fmt.Sprint("stream-", i)
				responses = append(responses, w.forwarder.Do(t.Context(), req))
			}
			lost := map[string]bool{}
			for _, s := range w.upstream.sent() {
				for i, h := range s.Path.Hops {
					if c.all || i > 0 {
						lost[h.Address] = true
						w.upstream.lose(h.Address)
					}
				}
			}
			is.True(len(lost) >= 4)
			lostAt := time.Now()
			whole := make(chan bool, len(responses))
			for _, resp := range responses {
				go func() {
					ids, err := read(t, resp)
					whole <- err == nil && len(ids) == events
				}()
			}
			is.Equal(<-whole, c.moves)
			is.Equal(<-whole, c.moves)
			is.Equal(w.upstream.moves > 0, c.moves)
			// Both are moved off by the first checks, before callers mind.
			is.True(!c.moves || w.upstream.movedAt.Sub(lostAt) < 300*time.Millisecond)
		})
	}
}

// An answer that comes in the moment in which its request's time is over, and in which
// the engines are looked at, ends the request: events never come without their head. On
// a host that was frozen all of this happens at once.
func TestAnAnswerAtTheDeadline(t *testing.T) {
	t.Parallel()
	// The second look comes then.
	const patience = 300 * time.Millisecond
	for range 400 {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(10)
			req := request("stream")
			req.Patience = patience
			late := func(forward.Send) (*forward.UpstreamResponse, error) {
				time.Sleep(patience - time.Since(req.Arrived))
				return whole(200, "id: 1\ndata: t\n\nid: 2\ndata: t\n\n"), nil
			}
			w.upstream.answers["e0"] = late
			w.upstream.answers["e1"] = late
			resp := w.forwarder.Do(t.Context(), req)
			if _, err := io.ReadAll(resp.Body); resp.Status != 200 && resp.Status != 504 {
				t.Errorf("got status %d (%v), want 200 or 504", resp.Status, err)
			}
			_ = resp.Body.Close()
			time.Sleep(time.Second)
		})
	}
}

// The first engine breaks the stream off: it goes on behind the last event at
// another one.
func TestAStreamGoesOnBehindTheLastEvent(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, tail string }{
		{"cut between events", ""},
		{"cut in an event", "id: 4\nda"},
		{"bytes that are no event", "garbage\n\n"},
		{"an event missing", "id: 5\ndata: t\n\n"},
		{"an event again, then cut", "id: 3\ndata: t\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(10)
				breaks := func(forward.Send) (*forward.UpstreamResponse, error) {
					body := &brokenReader{text: "id: 1\ndata: t\n\nid: 2\ndata: t\n\nid: 3\ndata: t\n\n" + c.tail}
					return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(body), Sealed: true}, nil
				}
				w.upstream.answers["e0"] = once(breaks)
				w.upstream.answers["e1"] = w.upstream.answers["e0"]
				ids, err := read(t, w.forwarder.Do(t.Context(), request("stream")))
				is.NoErr(err)
				is.Equal(ids, upTo(events))
				sent := w.upstream.sent()
				is.Equal(len(sent), 2)
				is.Equal(sent[1].LastEvent, "3")
				is.True(sent[0].Replica.Address != sent[1].Replica.Address)
			})
		})
	}
}

// An event that comes again is passed over, and a stream that its replica ends in
// the middle of an event, without an error, is not whole.
func TestWhatEndsAStream(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, text string
		sends      int
	}{
		{"an event again", "id: 1\ndata: t\n\nid: 1\ndata: t\n\nid: 2\ndata: t\n\n", 1},
		{"an end in an event", "id: 1\ndata: t\n\nid: 2\nda", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(10)
				w.upstream.answers["e0"] = once(func(forward.Send) (*forward.UpstreamResponse, error) { return whole(200, c.text), nil })
				w.upstream.answers["e1"] = w.upstream.answers["e0"]
				ids, err := read(t, w.forwarder.Do(t.Context(), request("stream")))
				is.NoErr(err)
				is.Equal(ids[:2], upTo(2))
				is.Equal(len(w.upstream.sent()), c.sends)
			})
		})
	}
}

// once answers the first request and leaves the others to the engine.
func once(answer func(forward.Send) (*forward.UpstreamResponse, error)) func(forward.Send) (*forward.UpstreamResponse, error) {
	used := false
	return func(s forward.Send) (*forward.UpstreamResponse, error) {
		if used {
			from := 0
			_, _ = fmt.Sscan(s.LastEvent, &from)
			var b strings.Builder
			for id := from + 1; id <= events; id++ {
				fmt.Fprintf(&b, "id: %d\ndata: t\n\n", id)
			}
			return whole(200, b.String()), nil
		}
		used = true
		return answer(s)
	}
}

// brokenReader breaks off behind its text.
type brokenReader struct{ text string }

func (r *brokenReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.text)
	r.text = r.text[n:]
	return n, nil
}

// When as many replicas have run a stream as its rule allows, one of them may get
// it again; a third one may not.
func TestAStreamMayReturnToAReplica(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(10)
		n := 0
		answer := func(forward.Send) (*forward.UpstreamResponse, error) {
			if n++; n == 2 {
				// A faster engine comes, which may not get the stream any more.
				w.replicas.Put(replica.Replica{
					ID: "e4", Service: "model", Address: "e4", FailureDomain: "a", Started: 1, Accelerator: "fast", Layers: route.Range{From: 0, To: 2},
				})
			}
			if n <= 2 {
				return nil, errors.New("reset")
			}
			return whole(200, "id: 1\ndata: t\n\n"), nil
		}
		for _, first := range []string{"e0", "e1", "e4"} {
			w.upstream.answers[first] = answer
		}
		ids, err := read(t, w.forwarder.Do(t.Context(), request("stream")))
		is.NoErr(err)
		is.Equal(ids, upTo(1))
		sent := w.upstream.sent()
		is.Equal(len(sent), 3)
		is.True(sent[0].Replica.Address != sent[1].Replica.Address)
		is.Equal(sent[2].Replica.Address, sent[0].Replica.Address) // the one that failed last is left
	})
}

// A stream leaves an engine that drains before that ends, without a new attempt.
func TestAStreamLeavesAnEngineThatDrains(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		leave func(w *world, r replica.Replica)
	}{
		{"drains", func(w *world, r replica.Replica) {
			r.Draining = true
			w.replicas.Put(r)
		}},
		{"is not listed any more", func(w *world, r replica.Replica) { w.replicas.Remove(r.ID, time.Now()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(10)
				w.upstream.events = 100
				began := time.Now()
				resp := w.forwarder.Do(t.Context(), request("stream"))
				address := w.upstream.sent()[0].Path.Hops[1].Address
				r, _ := w.replicas.View().ByAddress(address)
				c.leave(w, r)
				time.AfterFunc(2*time.Second, func() { w.upstream.lose(address) })
				ids, err := read(t, resp)
				is.NoErr(err)
				is.Equal(ids, upTo(100))
				is.Equal(w.upstream.moves, 1)
				is.True(w.upstream.movedAt.Sub(began) < 2*time.Second) // before the engine ended
				is.Equal(len(w.upstream.sent()), 1)
			})
		})
	}
}

// A move that finds no room is tried again: the attempt is not given up, as its
// other engines keep what they hold.
func TestAStreamLooksForRoomToMoveTo(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(10)
		// Engines of another version could take a new attempt, but not the move.
		for id, held := range map[string]route.Range{"e5": {From: 0, To: 2}, "e6": {From: 2, To: 4}} {
			w.replicas.Put(replica.Replica{
				ID: id, Service: "model", Address: id, FailureDomain: "b", Started: 1, Accelerator: "small", Layers: held, Version: 2,
			})
		}
		resp := w.forwarder.Do(t.Context(), request("stream"))
		path := w.upstream.sent()[0].Path
		other := map[string]string{"e2": "e3", "e3": "e2"}[path.Hops[1].Address]
		w.upstream.mu.Lock()
		w.upstream.full = map[string]bool{other: true}
		w.upstream.mu.Unlock()
		w.upstream.lose(path.Hops[1].Address)
		time.AfterFunc(500*time.Millisecond, func() {
			w.upstream.mu.Lock()
			defer w.upstream.mu.Unlock()
			w.upstream.full = nil
		})
		ids, err := read(t, resp)
		is.NoErr(err)
		is.Equal(ids, upTo(events))
		is.Equal(w.upstream.moves, 1)
		is.Equal(len(w.upstream.sent()), 1)
	})
}

// A stream that its caller is reading waits for a path rather than break off.
func TestAStreamWaitsForAPath(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(10)
		refusals := 0
		answer := func(s forward.Send) (*forward.UpstreamResponse, error) {
			if s.LastEvent == "" {
				return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(&brokenReader{text: "id: 1\ndata: t\n\n"}), Sealed: true}, nil
			}
			if refusals++; refusals == 1 {
				return refused(s)
			}
			return whole(200, "id: 2\ndata: t\n\n"), nil
		}
		w.upstream.answers["e0"], w.upstream.answers["e1"] = answer, answer
		began := time.Now()
		ids, err := read(t, w.forwarder.Do(t.Context(), request("stream")))
		is.NoErr(err)
		is.Equal(ids, upTo(2))
		is.True(time.Since(began) >= shunned) // the engine that refused was left alone
	})
}

// shunned is how long an engine that refused a stream is left out, at least.
const shunned = 300 * time.Millisecond

// A stream that breaks off for good must not look complete.
func TestAStreamThatIsLostDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(0)
		breaks := func(forward.Send) (*forward.UpstreamResponse, error) {
			return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(&brokenReader{text: "id: 1\ndata: t\n\n"}), Sealed: true}, nil
		}
		w.upstream.answers["e0"], w.upstream.answers["e1"] = breaks, breaks
		ids, err := read(t, w.forwarder.Do(t.Context(), request("stream")))
		is.Equal(ids, upTo(1))
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	})
}

// An engine that got the request and says nothing may have run it, so that the
// answer at the deadline is no promise.
func TestASilentAttemptIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(0)
		w.upstream.answers["e0"] = hang(t.Context())
		w.upstream.answers["e1"] = w.upstream.answers["e0"]
		req := request("stream")
		req.Patience = time.Second
		resp := w.forwarder.Do(t.Context(), req)
		is.Equal(resp.Status, http.StatusGatewayTimeout)
		is.Equal(time.Since(req.Arrived), time.Second) // answered at the deadline, not behind it
	})
}

func hang(ctx context.Context) func(forward.Send) (*forward.UpstreamResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	return func(forward.Send) (*forward.UpstreamResponse, error) {
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// A slow attempt goes on if the budget, or the rule, has nothing left for another
// one.
func TestASlowAttemptIsKeptWhereNoOtherCanBegin(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, rule string
		budget     float64
	}{{"no budget", "stream", 0}, {"no attempt left", "single", 10}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(c.budget)
				slow := func(forward.Send) (*forward.UpstreamResponse, error) {
					time.Sleep(2 * time.Second)
					return whole(200, "id: 1\ndata: t\n\n"), nil
				}
				w.upstream.answers["e0"], w.upstream.answers["e1"] = slow, slow
				ids, err := read(t, w.forwarder.Do(t.Context(), request(c.rule)))
				is.NoErr(err)
				is.Equal(ids, upTo(1))
				is.Equal(len(w.upstream.sent()), 1)
			})
		})
	}
}

// What can't be served is refused at once, with a time to come back.
func TestAStreamWithoutAPathIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(10)
		w.replicas.Remove("e2", time.Now())
		w.replicas.Remove("e3", time.Now())
		req := request("stream")
		resp := w.forwarder.Do(t.Context(), req)
		is.Equal(resp.Status, http.StatusServiceUnavailable)
		is.True(resp.RetryAfter > 0)
		is.Equal(time.Since(req.Arrived), time.Duration(0))
		is.Equal(len(w.upstream.sent()), 0)
	})
}

// Whatever engines send, a caller gets the events once and in order, and an end
// that looks complete only behind the last one.
func TestAnyBrokenStreamKeepsItsOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 6), 0, 8).Draw(r, "script")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(10)
			answer := func(s forward.Send) (*forward.UpstreamResponse, error) {
				return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(&brokenReader{text: spoil(s, script)}), Sealed: true}, nil
			}
			w.upstream.answers["e0"], w.upstream.answers["e1"] = answer, answer
			resp := w.forwarder.Do(t.Context(), request("stream"))
			ids, err := read(t, resp)
			if resp.Status == http.StatusOK && err == nil {
				r.Fatalf("got a complete end behind %v, want a broken one", ids)
			}
			for i, id := range ids {
				if id != i+1 {
					r.Fatalf("got events %v, want them in order", ids)
				}
			}
		})
	})
}

// spoil writes events, each as it is, twice, missing, as garbage or cut.
func spoil(s forward.Send, script []int) string {
	from := 0
	_, _ = fmt.Sscan(s.LastEvent, &from)
	var b strings.Builder
	for i, how := range script {
		id := from + i + 1
		switch how {
		case 0:
			fmt.Fprintf(&b, "id: %d\ndata: t\n\nid: %d\ndata: t\n\n", id, id)
		case 1:
		case 2:
			b.WriteString("\x00\xff\n\n")
		case 3:
			fmt.Fprintf(&b, "id: %d\nda", id)
			return b.String()
		default:
			fmt.Fprintf(&b, "id: %d\ndata: t\n\n", id)
		}
	}
	return b.String()
}
