package forward_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"log/slog"
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

// splitEvents returns the IDs of the events in a text.
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

func idsUpTo(n int) []int {
	var all []int
	for i := 1; i <= n; i++ {
		all = append(all, i)
	}
	return all
}

func TestStreamIsCompleteAndInOrder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		ids, err := readEvents(t, f.forwarder.Do(t.Context(), request("stream")))
		is.NoErr(err)
		is.Equal(ids, idsUpTo(eventCount))
		is.Equal(len(f.upstream.sent()), 1)
	})
}

// An answer that arrives at the deadline of its request, at the same time as a stall
// check, ends the request. The failure was an event received before the head of the
// answer. It occurs on a host that was frozen, where all of these happen at once.
func TestAnswerAtDeadline(t *testing.T) {
	t.Parallel()
	// The second stall check happens at this time.
	const timeout = 300 * time.Millisecond
	for range 400 {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(10)
			req := request("stream")
			req.Timeout = timeout
			late := func(forward.Send) (*forward.UpstreamResponse, error) {
				time.Sleep(timeout - time.Since(req.Arrived))
				return answerWith(200, "id: 1\ndata: t\n\nid: 2\ndata: t\n\n"), nil
			}
			f.upstream.answers["e0"] = late
			f.upstream.answers["e1"] = late
			resp := f.forwarder.Do(t.Context(), req)
			if _, err := io.ReadAll(resp.Body); resp.Status != 200 && resp.Status != 504 {
				t.Errorf("got status %d (%v), want 200 or 504", resp.Status, err)
			}
			_ = resp.Body.Close()
			time.Sleep(time.Second)
		})
	}
}

// The first engine breaks the stream off: the stream resumes after the last event at
// another engine.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, tail string }{
		{"truncated between events", ""},
		{"truncated within an event", "id: 4\nda"},
		{"bytes that are not an event", "garbage\n\n"},
		{"missing event", "id: 5\ndata: t\n\n"},
		{"duplicate event, then truncated", "id: 3\ndata: t\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				breakOff := func(forward.Send) (*forward.UpstreamResponse, error) {
					body := &brokenReader{text: "id: 1\ndata: t\n\nid: 2\ndata: t\n\nid: 3\ndata: t\n\n" + c.tail}
					return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(body), Signed: true}, nil
				}
				f.upstream.answers["e0"] = once(breakOff)
				f.upstream.answers["e1"] = f.upstream.answers["e0"]
				ids, err := readEvents(t, f.forwarder.Do(t.Context(), request("stream")))
				is.NoErr(err)
				is.Equal(ids, idsUpTo(eventCount))
				sent := f.upstream.sent()
				is.Equal(len(sent), 2)
				is.Equal(sent[1].LastEvent, "3")
				is.True(sent[0].Replica.Address != sent[1].Replica.Address)
			})
		})
	}
}

// A duplicate event is skipped. A stream that its replica ends within an event, without
// an error, is not complete.
func TestDuplicateAndTruncatedEvents(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, text string
		sends      int
	}{
		{"duplicate event", "id: 1\ndata: t\n\nid: 1\ndata: t\n\nid: 2\ndata: t\n\n", 1},
		{"end within an event", "id: 1\ndata: t\n\nid: 2\nda", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				f.upstream.answers["e0"] = once(func(forward.Send) (*forward.UpstreamResponse, error) { return answerWith(200, c.text), nil })
				f.upstream.answers["e1"] = f.upstream.answers["e0"]
				ids, err := readEvents(t, f.forwarder.Do(t.Context(), request("stream")))
				is.NoErr(err)
				is.Equal(ids[:2], idsUpTo(2))
				is.Equal(len(f.upstream.sent()), c.sends)
			})
		})
	}
}

// once uses answer for the first request and completes the stream for later ones.
func once(answer func(forward.Send) (*forward.UpstreamResponse, error)) func(forward.Send) (*forward.UpstreamResponse, error) {
	used := false
	return func(s forward.Send) (*forward.UpstreamResponse, error) {
		if used {
			from := 0
			_, _ = fmt.Sscan(s.LastEvent, &from)
			var b strings.Builder
			for id := from + 1; id <= eventCount; id++ {
				fmt.Fprintf(&b, "id: %d\ndata: t\n\n", id)
			}
			return answerWith(200, b.String()), nil
		}
		used = true
		return answer(s)
	}
}

// brokenReader returns its text and then io.ErrUnexpectedEOF.
type brokenReader struct{ text string }

func (r *brokenReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.text)
	r.text = r.text[n:]
	return n, nil
}

// Once as many replicas have run a stream as its rule allows, one of them may receive it
// again, but no other replica may.
func TestStreamMayReturnToReplica(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		n := 0
		answer := func(forward.Send) (*forward.UpstreamResponse, error) {
			if n++; n == 2 {
				// A faster engine is added, which must not receive the stream.
				f.replicas.Put(replica.Replica{
					ID: "e4", Service: "model", Address: "e4", FailureDomain: "a", Started: 1, Accelerator: "fast", Layers: route.Range{From: 0, To: 2},
				})
			}
			if n <= 2 {
				return nil, errors.New("reset")
			}
			return answerWith(200, "id: 1\ndata: t\n\n"), nil
		}
		for _, first := range []string{"e0", "e1", "e4"} {
			f.upstream.answers[first] = answer
		}
		ids, err := readEvents(t, f.forwarder.Do(t.Context(), request("stream")))
		is.NoErr(err)
		is.Equal(ids, idsUpTo(1))
		sent := f.upstream.sent()
		is.Equal(len(sent), 3)
		is.True(sent[0].Replica.Address != sent[1].Replica.Address)
		is.Equal(sent[2].Replica.Address, sent[0].Replica.Address) // not the one that failed last
	})
}

// A stream that its caller is reading waits for a path instead of breaking off.
func TestStreamWaitsForPath(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		refusals := 0
		answer := func(s forward.Send) (*forward.UpstreamResponse, error) {
			if s.LastEvent == "" {
				return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(&brokenReader{text: "id: 1\ndata: t\n\n"}), Signed: true}, nil
			}
			if refusals++; refusals == 1 {
				return refuse(s)
			}
			return answerWith(200, "id: 2\ndata: t\n\n"), nil
		}
		f.upstream.answers["e0"], f.upstream.answers["e1"] = answer, answer
		began := time.Now()
		ids, err := readEvents(t, f.forwarder.Do(t.Context(), request("stream")))
		is.NoErr(err)
		is.Equal(ids, idsUpTo(2))
		is.True(time.Since(began) >= minRefusedExclusion) // the engine that refused was excluded
	})
}

// minRefusedExclusion is the least time for which an engine that refused a stream is excluded.
const minRefusedExclusion = 300 * time.Millisecond

// A stream that breaks off for good must not look complete.
func TestBrokenStreamIsNotReportedComplete(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(0)
		breakOff := func(forward.Send) (*forward.UpstreamResponse, error) {
			return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(&brokenReader{text: "id: 1\ndata: t\n\n"}), Signed: true}, nil
		}
		f.upstream.answers["e0"], f.upstream.answers["e1"] = breakOff, breakOff
		ids, err := readEvents(t, f.forwarder.Do(t.Context(), request("stream")))
		is.Equal(ids, idsUpTo(1))
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	})
}

// An engine that received the request and does not answer may have run it, so the
// response at the deadline must not say that it was not run.
func TestSilentAttemptIsNotReportedNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(0)
		f.upstream.answers["e0"] = hang(t.Context())
		f.upstream.answers["e1"] = f.upstream.answers["e0"]
		req := request("stream")
		req.Timeout = time.Second
		resp := f.forwarder.Do(t.Context(), req)
		is.Equal(resp.Status, http.StatusGatewayTimeout)
		is.Equal(time.Since(req.Arrived), time.Second) // answered at the deadline, not after it
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

// A stream without a path is refused at once, with a time after which to retry.
func TestStreamWithoutPathIsRefusedImmediately(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		f.replicas.Remove("e2", time.Now())
		f.replicas.Remove("e3", time.Now())
		req := request("stream")
		resp := f.forwarder.Do(t.Context(), req)
		is.Equal(resp.Status, http.StatusServiceUnavailable)
		is.True(resp.RetryAfter > 0)
		is.Equal(time.Since(req.Arrived), time.Duration(0))
		is.Equal(len(f.upstream.sent()), 0)
	})
}

// Whatever engines send, a caller receives the events once and in order, and the stream
// looks complete only after the last event.
func TestBrokenStreamsKeepOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 6), 0, 8).Draw(r, "script")
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(10)
			answer := func(s forward.Send) (*forward.UpstreamResponse, error) {
				return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(&brokenReader{text: corrupt(s, script)}), Signed: true}, nil
			}
			f.upstream.answers["e0"], f.upstream.answers["e1"] = answer, answer
			resp := f.forwarder.Do(t.Context(), request("stream"))
			ids, err := readEvents(t, resp)
			if resp.Status == http.StatusOK && err == nil {
				r.Fatalf("got a complete stream with events %v, want a broken one", ids)
			}
			for i, id := range ids {
				if id != i+1 {
					r.Fatalf("got events %v, want them in order", ids)
				}
			}
		})
	})
}

// corrupt writes events according to script: unchanged, duplicated, omitted, replaced by
// garbage or truncated.
func corrupt(s forward.Send, script []int) string {
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

// The logs must tell which prompt parts the failed requests have in common.
func TestFailedStreamIsLoggedWithItsPromptParts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		var lines bytes.Buffer
		f.forwarder.Log = slog.New(slog.NewTextHandler(&lines, nil))
		for _, engine := range []string{"e0", "e1"} {
			f.upstream.answers[engine] = func(forward.Send) (*forward.UpstreamResponse, error) { return nil, errors.New("connection reset") }
		}
		req := request("stream")
		req.SharedParts = []uint64{0xa1, 0x2b}
		is.Equal(f.forwarder.Do(t.Context(), req).Status, http.StatusBadGateway)
		for _, message := range []string{"forward: attempt failed, resuming stream", "forward: request ended"} {
			i := strings.Index(lines.String(), message)
			is.True(i >= 0)
			line, _, _ := strings.Cut(lines.String()[i:], "\n")
			is.True(strings.Contains(line, "parts=\"[a1 2b]\""))
		}
	})
}

// endlessLines is a body of lines without end that are no event. It counts the bytes
// that are read.
type endlessLines struct{ read int }

const tooManyBytes = 64 << 20

func (b *endlessLines) Read(p []byte) (int, error) {
	if b.read >= tooManyBytes {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat("data: x\n", len(p)/8+1))
	b.read += n
	return n, nil
}

func TestEndlessEventIsRejected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		body := &endlessLines{}
		f.upstream.answers["e0"] = func(forward.Send) (*forward.UpstreamResponse, error) {
			return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(body), Signed: true}, nil
		}
		f.upstream.answers["e1"] = f.upstream.answers["e0"]
		is.Equal(f.forwarder.Do(t.Context(), request("stream")).Status, http.StatusBadGateway)
		is.True(body.read < tooManyBytes)
	})
}

// An engine that repeats events makes no progress.
func TestRepeatedEventsDoNotKeepAStreamAlive(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		stuck := ""
		for _, engine := range []string{"e0", "e1"} {
			f.upstream.streamBy[engine] = func(ctx context.Context, s forward.Send) *forward.UpstreamResponse {
				if stuck == "" {
					stuck = engine
				}
				if stuck != engine {
					return f.upstream.stream(ctx, s)
				}
				out, in := io.Pipe()
				go func() {
					for ctx.Err() == nil {
						_, _ = io.WriteString(in, "id: 1\ndata: t\n\n")
						time.Sleep(eventInterval)
					}
					_ = in.CloseWithError(ctx.Err())
				}()
				return &forward.UpstreamResponse{Status: 200, Body: out, Signed: true}
			}
		}
		ids, err := readEvents(t, f.forwarder.Do(t.Context(), request("stream")))
		is.NoErr(err)
		is.Equal(ids, idsUpTo(eventCount))
	})
}
