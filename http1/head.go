package http1

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// statusDigits is the length of a status, and minStatus and maxStatus bound it.
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
	// maxFields bounds the number of fields of a head.
	maxFields = 256
)

var lineEnd = []byte("\r\n")

// checkHead checks the head of a response, up to and including its empty line, and returns
// the status.
func checkHead(head []byte) (status int, err error) {
	lines := bytes.Split(bytes.TrimSuffix(head, headEnd), lineEnd)
	version, status, err := checkStatusLine(string(lines[0]))
	if err != nil {
		return 0, err
	}
	if len(lines) > maxFields+1 {
		return 0, &Error{Op: "read head", Kind: KindTooLarge, Cause: errTooManyFields}
	}
	var f framing
	for _, line := range lines[1:] {
		name, err := checkField(string(line))
		if err != nil {
			return 0, err
		}
		f.count(name)
	}
	return status, f.check(version)
}

// checkStatusLine checks the first line of a head, and returns the minor version and the
// status.
func checkStatusLine(line string) (version string, status int, err error) {
	version, rest, ok := strings.Cut(line, " ")
	if !ok || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", 0, malformed("got no status line of HTTP/1.1 or HTTP/1.0")
	}
	code, reason, _ := strings.Cut(rest, " ")
	if len(code) != statusDigits || !httpguts.ValidHeaderFieldValue(reason) {
		return "", 0, malformed("got no status of three digits, or a malformed reason")
	}
	for _, digit := range []byte(code) {
		if digit < '0' || digit > '9' {
			return "", 0, malformed("got status %q, want digits", code)
		}
		status = 10*status + int(digit-'0')
	}
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return "", 0, malformed("got status %s, want %d to %d and no change of the protocol", code, minStatus, maxStatus)
	}
	return version, status, nil
}

// checkField checks a line with a field, and returns the field's name.
func checkField(line string) (name string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) {
		return "", malformed("got a line without a valid field name")
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return "", malformed("got control bytes in the field %s", name)
	}
	return name, nil
}

// framing counts the fields that tell where the body of a response ends.
type framing struct{ lengths, encodings int }

func (f *framing) count(name string) {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		f.lengths++
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.encodings++
	}
}

// check returns an error if the end of the body is ambiguous.
func (f *framing) check(version string) error {
	if f.lengths+f.encodings > 1 {
		return malformed("got %d lengths and %d transfer encodings, want one field at most", f.lengths, f.encodings)
	}
	if f.encodings > 0 && version == "HTTP/1.0" {
		return malformed("got a transfer encoding in HTTP/1.0")
	}
	return nil
}
