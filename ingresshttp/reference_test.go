package ingresshttp_test

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// framedRequest is one request as its framing delimits it.
type framedRequest struct {
	Method string
	Target string
	Body   string
}

// errFraming means that the rest of the input is malformed or incomplete.
var errFraming = errors.New("malformed or incomplete request")

// readFramedRequests returns the requests at the start of text, up to the first that is
// malformed, incomplete or of ambiguous length. It follows RFC 9112 and rejects all that a
// proxy in front of the server could delimit differently.
func readFramedRequests(text []byte) []framedRequest {
	var all []framedRequest
	for {
		r, rest, err := readFramedRequest(text)
		if err != nil {
			return all
		}
		all = append(all, r)
		text = rest
	}
}

func readFramedRequest(text []byte) (r framedRequest, rest []byte, err error) {
	line, rest, err := cutLine(text)
	for err == nil && line == "" { // empty lines before a request are ignored
		line, rest, err = cutLine(rest)
	}
	if err != nil {
		return r, nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return r, nil, errFraming
	}
	r.Method, r.Target = parts[0], parts[1]
	header, rest, err := cutHeader(rest)
	if err != nil {
		return r, nil, err
	}
	body, rest, err := cutBody(header, parts[2], rest)
	r.Body = string(body)
	return r, rest, err
}

// cutLine returns the text up to a CRLF. A bare LF ends a line, too, which RFC 9112 allows
// outside of chunked bodies; a bare CR does not.
func cutLine(text []byte) (line string, rest []byte, err error) {
	before, rest, ok := bytes.Cut(text, []byte("\n"))
	if !ok {
		return "", nil, errFraming
	}
	line = strings.TrimSuffix(string(before), "\r")
	if strings.ContainsAny(line, "\r\x00") {
		return "", nil, errFraming
	}
	return line, rest, nil
}

// cutHeader returns the fields up to the empty line, with their names in lower case.
func cutHeader(text []byte) (fields map[string][]string, rest []byte, err error) {
	fields = map[string][]string{}
	for {
		line, rest, err := cutLine(text)
		if err != nil || line == "" {
			return fields, rest, err
		}
		// A folded line begins with a blank and therefore has no valid name.
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, nil, errFraming
		}
		name = strings.ToLower(name)
		fields[name] = append(fields[name], strings.Trim(value, " \t"))
		text = rest
	}
}

func cutBody(fields map[string][]string, version string, text []byte) (body, rest []byte, err error) {
	codings, lengths := fields["transfer-encoding"], fields["content-length"]
	if len(codings) > 0 {
		if len(codings) > 1 || len(lengths) > 0 || version != "HTTP/1.1" || !strings.EqualFold(codings[0], "chunked") {
			return nil, nil, errFraming
		}
		return cutChunks(text)
	}
	if len(lengths) == 0 {
		return nil, text, nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 32)
	if len(lengths) > 1 || err != nil || n > uint64(len(text)) {
		return nil, nil, errFraming
	}
	return text[:n], text[n:], nil
}

// cutChunks returns the data of a chunked body. Its lines end with CRLF only. Extensions are
// ignored, whatever they have otherwise.
func cutChunks(text []byte) (body, rest []byte, err error) {
	for {
		line, after, ok := bytes.Cut(text, []byte("\r\n"))
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 32)
		if !ok || err != nil || bytes.ContainsAny(line, "\r\n") || strings.HasPrefix(size, "+") {
			return nil, nil, errFraming
		}
		if n == 0 {
			rest, err := cutTrailer(after)
			return body, rest, err
		}
		if uint64(len(after)) < n+2 || string(after[n:n+2]) != "\r\n" {
			return nil, nil, errFraming
		}
		body, text = append(body, after[:n]...), after[n+2:]
	}
}

// cutTrailer returns the text after the empty line that ends a chunked body. The lines
// before it are ignored, whatever they have: none of them changes where the body ends.
func cutTrailer(text []byte) (rest []byte, err error) {
	for {
		line, rest, err := cutLine(text)
		if err != nil || line == "" {
			return rest, err
		}
		text = rest
	}
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}
