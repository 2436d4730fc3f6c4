package caller_test

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/caller"
	"bulrushshed/completion"
	"bulrushshed/delivery"
	"bulrushshed/intake"
	"bulrushshed/outcome"
	"bulrushshed/rule"
)

const (
	maxBodyBytes = 100 << 10
	// memoryBytes is room for one body of the largest size and some small requests.
	memoryBytes = 512 << 10
)

// backend stands in for all that a server depends on. It records the bodies of calls.
type backend struct {
	file *rule.File

	mu     sync.Mutex
	bodies []string
	// status is the status of the service's answers, or 0 for 200.
	status int
}

func (b *backend) Run(_ context.Context, r completion.Request, sink completion.Sink) error {
	for n := range r.MaxTokens {
		if err := sink.WriteToken(n, "t"); err != nil {
			return err
		}
	}
	return nil
}

func (b *backend) Deliver(_ context.Context, r delivery.Request) (outcome.Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies = append(b.bodies, string(r.Body))
	return outcome.Answer{Status: cmp.Or(b.status, http.StatusOK), ContentType: "text/plain", Body: []byte("done")}, nil
}

func (b *backend) delivered() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.bodies...)
}

func (b *backend) TrackRequest() func() { return func() {} }

func (b *backend) Admit(context.Context, completion.Request) (func(bool), error) {
	return func(bool) {}, nil
}

func (b *backend) Current() rule.ActiveFile                                               { return rule.ActiveFile{File: b.file} }
func (b *backend) Entries() []caller.Entry                                                { return nil }
func (b *backend) IssueKeys(int) []string                                                 { return nil }
func (b *backend) RequestDone(string, string, outcome.Kind, outcome.Cause, time.Duration) {}
func (b *backend) FirstToken(string, string, time.Duration)                               {}
func (b *backend) BetweenTokens(string, string, time.Duration)                            {}
func (b *backend) Queued(string, time.Duration)                                           {}

// fixture is a server on a loopback address.
type fixture struct {
	*backend
	ledger  *intake.Ledger
	address string
}

func startServer(t *testing.T, pace intake.Pace) *fixture {
	t.Helper()
	file, err := rule.Parse("class path=/stock/* service=stock idempotent=yes deadline=5s # test: calls\n" +
		"model name=assistant version=v1 layers=1 objective=recovery deadline=5s # test: completions\n")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{backend: &backend{file: file}, ledger: intake.NewLedger(memoryBytes)}
	ctx, cancel := context.WithCancel(context.Background())
	s := caller.NewServer(ctx, caller.Options{
		Ledger: f.ledger, BodyPace: pace, MaxBodyBytes: maxBodyBytes, MaxPromptBytes: maxBodyBytes, MaxTokens: 100, FirstTokenWait: time.Second,
	}, f, f, f, f, f, f, slog.New(slog.DiscardHandler)).HTTPServer(func() bool { return false })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = ln.Addr().String()
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		cancel()
		_ = ln.Close()
		<-done
	})
	return f
}

// response is a final response.
type response struct {
	Status int
	Header http.Header
	Body   string
}

// exchange sends raw text on a new connection and returns the response.
func (f *fixture) exchange(t *testing.T, text string) response {
	t.Helper()
	conn := f.dial(t, text)
	return readResponse(t, bufio.NewReader(conn))
}

// readResponse reads the next final response.
func readResponse(t *testing.T, r *bufio.Reader) response {
	t.Helper()
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusContinue {
			return response{Status: resp.StatusCode, Header: resp.Header, Body: string(body)}
		}
	}
}

func (f *fixture) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitReleased waits until all memory is released, as an answer is sent before.
func (f *fixture) awaitReleased(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); f.ledger.Stats().Reserved > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %+v, want no reserved memory", f.ledger.Stats())
		}
	}
}

func post(path, header, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nCustomer: ana\r\n" + header + "\r\n" + body
}

func gzipped(text string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = io.WriteString(w, text)
	_ = w.Close()
	return b.String()
}

func lengthOf(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// The outcome of a refused request must say what the caller may do: a request without a key
// has not run, one with a key may have run before, and an invalid one will never run.
func TestRefusalsTellTheOutcome(t *testing.T) {
	t.Parallel()
	const key = "Idempotency-Key: k\r\n"
	bomb := gzipped(strings.Repeat("a", 2*maxBodyBytes))
	for _, c := range []struct {
		name, request string
		status        int
		kind          outcome.Kind
		cause         outcome.Cause
	}{
		{"announced body over the limit", post("/stock/1", lengthOf(maxBodyBytes+1), ""), 413, outcome.Invalid, outcome.CauseTooLarge},
		{"body over the limit", post("/stock/1", chunked, "20000\r\n"+strings.Repeat("a", maxBodyBytes+1)), 413, outcome.Invalid, outcome.CauseTooLarge},
		{"body over the limit with a key", post("/stock/1", key+lengthOf(maxBodyBytes+1), ""), 413, outcome.Invalid, outcome.CauseTooLarge},
		{"expected body over the limit", post("/stock/1", "Expect: 100-continue\r\n"+lengthOf(maxBodyBytes+1), ""), 413, outcome.Invalid, outcome.CauseTooLarge},
		{"compressed body over the limit", post("/stock/1", "Content-Encoding: gzip\r\n"+lengthOf(len(bomb)), bomb), 413, outcome.Invalid, outcome.CauseTooLarge},
		{"unknown encoding", post("/stock/1", "Content-Encoding: x\r\n"+lengthOf(3), "abc"), 400, outcome.Invalid, outcome.CauseInvalidField},
		{"header over the limit", post("/stock/1", "A: "+strings.Repeat("a", 40<<10)+"\r\n", ""), 431, outcome.Invalid, outcome.CauseHeaderTooLarge},
		{"malformed chunk", post("/stock/1", chunked, "x\r\n"), 400, outcome.Invalid, outcome.CauseInvalidField},
		{"two lengths", post("/stock/1", chunked+lengthOf(3), "abc"), 400, outcome.Invalid, outcome.CauseInvalidField},
		{"slow body", post("/stock/1", chunked, "1\r\na\r\n"), 408, outcome.NotRun, outcome.CauseSlowBody},
		{"slow body with a key", post("/stock/1", key+chunked, "1\r\na\r\n"), 502, outcome.Unknown, outcome.CauseSlowBody},
		{"slow completion", post("/v1/completions", lengthOf(50), "{"), 408, outcome.NotRun, outcome.CauseSlowBody},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startServer(t, intake.Pace{Grace: 300 * time.Millisecond, BytesPerSecond: 1 << 20})
			resp := f.exchange(t, c.request)
			is.Equal(resp.Status, c.status)
			is.Equal(resp.Header.Get("Outcome"), string(c.kind))
			var answer struct {
				Error struct {
					Kind  outcome.Kind  `json:"kind"`
					Cause outcome.Cause `json:"cause"`
				} `json:"error"`
			}
			is.NoErr(json.Unmarshal([]byte(resp.Body), &answer))
			is.Equal(answer.Error.Kind, c.kind)
			is.Equal(answer.Error.Cause, c.cause)
			is.Equal(f.delivered(), nil) // nothing ran
			f.awaitReleased(t)
		})
	}
}

// Guards against an answer that promises that a call did not run though its service ran it:
// the service has answered with such a status, and did not state that it had not run it.
func TestStatusOfServicePromisesNothing(t *testing.T) {
	t.Parallel()
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		is := is.New(t)
		f := startServer(t, intake.Pace{})
		f.status = status
		resp := f.exchange(t, post("/stock/1", lengthOf(3), "abc"))
		is.Equal(resp.Status, http.StatusBadGateway)
		is.Equal(resp.Header.Get("Outcome"), string(outcome.Unknown))
		is.Equal(f.delivered(), []string{"abc"})
	}
}

// Requests inside the limits are served with their bodies, and release their memory.
func TestRequestsAreServedWithTheirBodies(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("b", maxBodyBytes)
	for _, c := range []struct{ name, header, body, want string }{
		{"empty", lengthOf(0), "", ""},
		{"announced", lengthOf(3), "abc", "abc"},
		{"of the largest size", lengthOf(maxBodyBytes), large, large},
		{"chunked", chunked, "1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n", "abc"},
		{"compressed", "Content-Encoding: gzip\r\n" + lengthOf(len(gzipped("abc"))), gzipped("abc"), "abc"},
		{"expected", "Expect: 100-continue\r\n" + lengthOf(3), "abc", "abc"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startServer(t, intake.Pace{})
			conn := f.dial(t, post("/stock/1", c.header, c.body)+post("/stock/1", lengthOf(4), "next"))
			r := bufio.NewReader(conn)
			for range 2 {
				resp := readResponse(t, r)
				is.Equal(resp.Status, http.StatusOK)
				is.Equal(resp.Header.Get("Outcome"), "answered")
			}
			is.Equal(f.delivered(), []string{c.want, "next"})
			f.awaitReleased(t)
		})
	}
}

// A completion is streamed, and releases its memory at its end.
func TestStreamReleasesItsMemory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startServer(t, intake.Pace{})
	text := `{"model":"assistant","prompt":"p","max_tokens":3}`
	resp := f.exchange(t, post("/v1/completions", lengthOf(len(text)), text))
	is.Equal(resp.Status, http.StatusOK)
	is.Equal(strings.Count(resp.Body, `"text":"t"`), 3)
	is.True(strings.HasSuffix(resp.Body, "data: [DONE]\n\n"))
	f.awaitReleased(t)
}

// Bodies that never end must neither hold more than the memory of requests nor keep out
// ordinary callers, and a caller that is refused for them must learn it.
func TestUnfinishedBodiesHoldBoundedMemory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startServer(t, intake.Pace{})
	size := maxBodyBytes - 1
	for n := range 40 {
		header, body := lengthOf(maxBodyBytes), strings.Repeat("a", size)
		if n%2 == 0 {
			header, body = chunked, fmt.Sprintf("%x\r\n", maxBodyBytes)+body
		}
		f.dial(t, post("/stock/1", header, body))
	}
	served := false
	for end := time.Now().Add(20 * time.Second); !served && time.Now().Before(end); {
		resp := f.exchange(t, post("/stock/1", lengthOf(3), "abc"))
		served = resp.Status == http.StatusOK
		if !served {
			is.Equal(resp.Status, http.StatusServiceUnavailable)
			is.Equal(resp.Header.Get("Outcome"), string(outcome.NotRun))
			is.True(resp.Header.Get("Retry-After") != "")
		}
		is.True(f.ledger.Stats().Reserved <= memoryBytes+1<<10) // answers are not refused
	}
	is.True(served)
}
