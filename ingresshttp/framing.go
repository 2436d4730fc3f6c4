package ingresshttp

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// errAmbiguousFraming is why a request is refused whose length is ambiguous.
var errAmbiguousFraming = errors.New("ambiguous framing")

// hasAmbiguousFraming reports whether a proxy in front of this host may delimit a request
// differently, which could be used for request smuggling. That is so for one that has both
// a Transfer-Encoding and a Content-Length, a coding other than chunked (which fasthttp
// ignores, so that the body would be served as the next request), a malformed or folded
// header line, or an unknown version of HTTP.
func hasAmbiguousFraming(h *fasthttp.RequestHeader) bool {
	if p := string(h.Protocol()); p != "HTTP/1.1" && p != "HTTP/1.0" {
		return true
	}
	raw := bytes.ToLower(h.RawHeaders())
	if bytes.Contains(raw, []byte("transfer-encoding")) && bytes.Contains(raw, []byte("content-length")) {
		return true
	}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, ok := bytes.Cut(line, []byte(":"))
		if len(line) > 0 && (!ok || !isToken(name)) {
			return true
		}
		if string(name) == "transfer-encoding" && string(bytes.Trim(value, " \t")) != "chunked" {
			return true
		}
	}
	return false
}

// isToken reports whether a name consists of the characters that RFC 9110 allows, in lower
// case.
func isToken(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && bytes.IndexByte([]byte("-_!#$%&'*+.^`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}
