package hosted_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// faultyListeners are the listeners of a host, whose Accept can be made to fail.
type faultyListeners struct {
	mu        sync.Mutex
	listeners map[string]*faultyListener
	// errs are the errors that each listener returns first.
	errs []error
}

func (f *faultyListeners) listen(network, address string) (net.Listener, error) {
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &faultyListener{Listener: ln, errs: f.errs}
	f.listeners[address] = l
	return l, nil
}

func (f *faultyListeners) at(address string) *faultyListener {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listeners[address]
}

// faultyListener returns its errors before it accepts connections. Only the goroutine
// that accepts uses errs.
type faultyListener struct {
	net.Listener
	errs []error
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// newFaultyFleet returns a fleet of one host whose listeners first return the given errors.
func newFaultyFleet(t *testing.T, errs ...error) (*fleet, *faultyListeners) {
	t.Helper()
	f := newFleet(t, 0)
	faulty := &faultyListeners{listeners: map[string]*faultyListener{}, errs: errs}
	f.listen = faulty.listen
	h := f.start(t, 0)
	f.hosts = append(f.hosts, h)
	// A connection that is not accepted would let the request hang.
	hasty := &http.Client{Transport: client.Transport, Timeout: time.Second}
	await(t, "response from the host", func() bool {
		select {
		case err := <-h.done:
			h.done <- nil
			t.Fatalf("host ended: %v", err)
		default:
		}
		resp, err := hasty.Get("http://" + h.cfg.CallerAddress)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
	await(t, "response 200 to /draft/1", func() bool { return statusOf(f.hosts[0].request(t, "POST", "/draft/1", "k1")) == 200 })
	return f, faulty
}

// A host whose listeners cannot accept for a while must go on, and not end with all its
// requests.
func TestHostSurvivesTransientAcceptErrors(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var errs []error
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.EMFILE} {
		errs = append(errs, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)})
	}
	f, _ := newFaultyFleet(t, errs...)
	h := f.hosts[0]
	await(t, "directory response", func() bool { return len(h.addresses(t)) == 1 })
	for _, url := range []string{"http://" + h.cfg.ReadyAddress + "/api/ready", "http://" + h.cfg.MetricsAddress + "/metrics"} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		is.NoErr(err)
		resp, err := client.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, 200)
	}
	select {
	case err := <-h.done:
		t.Fatalf("host ended: %v", err)
	default:
	}
}

// A host with a server that fails must complete its requests in flight before it ends, and
// must report the failure.
func TestHostDrainsWhenAServerFails(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		address func(h *entryHost) string
	}{
		{"callers", func(h *entryHost) string { return h.cfg.CallerAddress }},
		{"metrics", func(h *entryHost) string { return h.cfg.MetricsAddress }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, faulty := newFaultyFleet(t)
			h := f.hosts[0]
			for _, e := range f.engines {
				e.set(func(e *replicaStandIn) { e.eventInterval = 60 * time.Millisecond })
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.cfg.CallerAddress+"/draft/1", nil)
			is.NoErr(err)
			req.Host = "h.example"
			req.Header.Set("Authorization", "Bearer k1")
			resp, err := client.Do(req)
			is.NoErr(err)
			r := bufio.NewReader(resp.Body)
			_, err = r.ReadString('\n')
			is.NoErr(err)
			is.NoErr(faulty.at(c.address(h)).Close())
			var rest strings.Builder
			for strings.Count(rest.String(), "id: ") < 17 {
				line, err := r.ReadString('\n')
				is.NoErr(err)
				rest.WriteString(line)
			}
			select {
			case err := <-h.done:
				h.done <- nil
				t.Fatalf("host ended before its stream: %v", err)
			default:
			}
			tail, err := io.ReadAll(r)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(strings.Count(rest.String()+string(tail), "id: "), 19)
			is.True(<-h.done != nil) // the host reports that the server failed
			h.done <- nil
		})
	}
}
