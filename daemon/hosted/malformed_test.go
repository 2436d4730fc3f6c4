package hosted_test

import (
	"net/http"
	"testing"
)

// Guards against bytes that pass for an answer of a replica, direct and relayed.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	f.hosts[1].links.set(cutRefusing)
	await(t, "responses through the other host", func() bool { return servedEverything(t, f.hosts[1]) })
	const signature = "X-Bulrushshed-Server-Seal: s\r\n"
	all := append(append([]*replicaStandIn{}, f.plain...), f.engines...)
	for name, text := range map[string]string{
		"blank after a name":     "HTTP/1.1 200 OK\r\n" + signature + "Content-Length : 2\r\n\r\nok",
		"blank in a name":        "HTTP/1.1 200 OK\r\n" + signature + "X Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a name": "HTTP/1.1 200 OK\r\n" + signature + "X\x01: 1\r\nContent-Length: 2\r\n\r\nok",
		"status 000":             "HTTP/1.1 000 OK\r\n" + signature + "Content-Length: 2\r\n\r\nok",
		"half a head":            "HTTP/1.1 200 OK\r\n" + signature + "Content-Le",
		"no end of the head":     "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 0\r\n",
	} {
		for _, r := range all {
			r.set(func(r *replicaStandIn) { r.rawAnswer = text })
		}
		for n, h := range f.hosts {
			for _, path := range []string{"/confirm/1", "/stock/1", "/draft/1"} {
				status, body := h.request(t, "POST", path, "k1")
				if status < http.StatusInternalServerError || body != "" {
					t.Errorf("%s: got status %d with %q of host %d to %s, want a failure without a body", name, status, body, n, path)
				}
			}
		}
	}
}
