// Package http1 reads the responses of HTTP/1.1 servers, and decides for all clients what is a
// response and what is a whole one.
//
// [ReadResponse] checks the head byte by byte before net/http parses it, as net/http and
// fasthttp accept more than the protocol allows: names with blanks, statuses such as 000,
// continued lines, two framings at once. Bytes that are no response are an [*Error], after
// few of them. The number of bytes and fields that a head may have is bounded.
//
// The body ends with io.EOF only if it is whole: at its length, at its last chunk, or, if it
// has neither, at an orderly end of the connection. [Conn] tells such an end from a reset that
// a write on the same connection has found first.
package http1
