package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"bulrushshed/jsonhttp"
	"bulrushshed/replicahttp"
)

// startServer starts a server that accepts connections and passes each to serve. It returns
// the address.
func startServer(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	served.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		served.Wait()
	})
	return ln.Addr().String()
}

func newHeader(method string, body []byte) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(method)
	h.SetRequestURI("/x")
	h.SetHost("h.example")
	if len(body) > 0 {
		h.SetContentLength(len(body))
	}
	return h
}

// clients send a request by each of the clients that read answers, and return the body of the
// whole answer.
var clients = map[string]func(t *testing.T, address string) (body string, err error){
	"replicahttp": func(t *testing.T, address string) (string, error) {
		resp, err := replicahttp.Exchange(t.Context(), replicahttp.DialDirect, address, newHeader("GET", nil), nil)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	},
	"jsonhttp": func(t *testing.T, address string) (string, error) {
		resp, err := jsonhttp.NewClient(jsonhttp.DefaultOptions()).Exchange(t.Context(), newRequest(address))
		if err != nil {
			return "", err
		}
		return string(resp.Body), nil
	},
	"jsonhttp stream": func(t *testing.T, address string) (string, error) {
		s, err := jsonhttp.NewClient(jsonhttp.DefaultOptions()).Open(t.Context(), newRequest(address))
		if err != nil {
			return "", err
		}
		defer s.Close()
		body, err := io.ReadAll(s)
		return string(body), err
	},
}

func newRequest(address string) jsonhttp.Request {
	return jsonhttp.Request{Method: http.MethodGet, URL: "http://" + address + "/x", Timeout: 30 * time.Second}
}

// malformedAnswers are bytes that are no answer, or one whose end is ambiguous.
var malformedAnswers = map[string]string{
	"status 000":                    "HTTP/1.1 000 Nothing\r\nContent-Length: 2\r\n\r\nok",
	"status with a sign":            "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                    "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"two blanks before the status":  "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok",
	"another version":               "HTTP/3.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"change of the protocol":        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"blank after a name":            "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"blank in a name":               "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"tab in a name":                 "HTTP/1.1 200 OK\r\nX\tY: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":        "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"zero byte in a name":           "HTTP/1.1 200 OK\r\nX\x00: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":       "HTTP/1.1 200 OK\r\nX: a\x01b\r\nContent-Length: 2\r\n\r\nok",
	"carriage return in a value":    "HTTP/1.1 200 OK\r\nX: a\rb\r\nContent-Length: 2\r\n\r\nok",
	"empty name":                    "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"line without a colon":          "HTTP/1.1 200 OK\r\nX\r\nContent-Length: 2\r\n\r\nok",
	"continued line":                "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 9\r\nContent-Length: 2\r\n\r\nok",
	"continued first line":          "HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 2\r\n\r\nok",
	"lines that end with a feed":    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"length and chunks":             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"length with a sign":            "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"unknown encoding":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: other\r\n\r\nok",
	"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"half a status line":            "HTTP/1.1 20",
	"half a field":                  "HTTP/1.1 200 OK\r\nContent-Len",
	"fields without an empty line":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	"half an empty line":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r",
	"interim answer, half a head":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-",
	"more fields than any answer":   "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: 1\r\n", 2000) + "Content-Length: 2\r\n\r\nok",
	"larger head than any answer's": "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10) + "\r\nContent-Length: 2\r\n\r\nok",
}

// Guards against bytes that pass for an answer: heads that are cut off, or hold what the
// protocol doesn't allow, with a line that is passed on or a body that isn't the replica's.
func TestMalformedAnswersAreNone(t *testing.T) {
	t.Parallel()
	for name, text := range malformedAnswers {
		for client, send := range clients {
			t.Run(client+"/"+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				body, err := send(t, startServer(t, respondWith(text)))
				is.True(err != nil)
				is.Equal(body, "")
			})
		}
	}
}

// respondWith returns a server that answers each request with a text, in small pieces.
func respondWith(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		for piece := range slices.Chunk([]byte(text), 1+len(text)/50) {
			_, _ = conn.Write(piece)
		}
	}
}

// Sound answers of other servers are read.
func TestUnusualAnswersAreRead(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"no reason":               "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
		"empty reason":            "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0":                "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"no blank after a colon":  "HTTP/1.1 200 OK\r\nX:1\r\ncontent-length:2\r\n\r\nok",
		"blanks around a value":   "HTTP/1.1 200 OK\r\nX: \t1 \t\r\nContent-Length: 2 \r\n\r\nok",
		"other bytes in a value":  "HTTP/1.1 200 OK\r\nX: \xe4\r\nContent-Length: 2\r\n\r\nok",
		"chunks":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\no\r\n1\r\nk\r\n0\r\n\r\n",
		"surplus bytes":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
		"several interim answers": strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 6) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"large head":              "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("x", 100)+"\r\n", 200) + "Content-Length: 2\r\n\r\nok",
	} {
		for client, send := range clients {
			t.Run(client+"/"+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				body, err := send(t, startServer(t, respondWith(text)))
				is.NoErr(err)
				is.Equal(body, "ok")
			})
		}
	}
}

// Guards against bodies that are cut off and pass for whole ones.
func TestCutBodiesAreNotWhole(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"before its length":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
		"in a chunk":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"after a chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"before the end of chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok",
		"in the last chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		"malformed chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nx\r\n\r\n",
	} {
		for client, send := range clients {
			t.Run(client+"/"+name, func(t *testing.T) {
				t.Parallel()
				_, err := send(t, startServer(t, respondWith(text)))
				is.New(t).True(err != nil)
			})
		}
	}
}

// Guards against memory and time that bytes without end take: the connection is closed after
// few of them.
func TestBytesWithoutEndAreNotKept(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"field":             {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no answer":         {"", "\x00"},
		"ends of lines":     {"HTTP/1.1 200 OK", "\r\r\n"},
		"size of a chunk":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"extension":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"fields at the end": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
	} {
		for client, send := range clients {
			t.Run(client+"/"+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				const tooMuch = 32 << 20
				sent := make(chan int, 1)
				address := startServer(t, func(conn net.Conn, r *bufio.Reader) {
					_, _ = http.ReadRequest(r)
					_, _ = io.WriteString(conn, c.start)
					block := []byte(strings.Repeat(c.repeated, 4096))
					n := 0
					for n < tooMuch {
						written, err := conn.Write(block)
						n += written
						if err != nil {
							break
						}
					}
					sent <- n
				})
				_, err := send(t, address)
				is.True(err != nil)
				is.True(<-sent < tooMuch) // the connection was closed before
			})
		}
	}
}
