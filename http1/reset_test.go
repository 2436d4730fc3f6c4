package http1_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"bulrushshed/replicahttp"
)

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Guards against a part of an answer that passes for all of it: a replica answers a long
// upload at once, without a length, and resets the connection while the upload is written.
// The system may report the reset to the write, and an end to the read.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	t.Parallel()
	body := bytes.Repeat([]byte("x"), 8<<20)
	for range 300 {
		is := is.New(t)
		address := startServer(t, func(conn net.Conn, r *bufio.Reader) {
			_, _ = r.ReadString('\n')
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			reset(conn)
		})
		resp, err := replicahttp.Exchange(t.Context(), replicahttp.DialDirect, address, newHeader("POST", body), body)
		if err != nil {
			continue // the reset came before the head
		}
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil) // want an error, as the connection was reset
		is.NoErr(resp.Body.Close())
	}
}

// An answer without a length is whole at an orderly end of the connection, also while the
// upload has not been read.
func TestAnswerThatEndsInOrderDuringTheUploadIsWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), 8<<20)
	release := make(chan struct{})
	address := startServer(t, func(conn net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		<-release
	})
	resp, err := replicahttp.Exchange(t.Context(), replicahttp.DialDirect, address, newHeader("POST", body), body)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(text), "whole")
	is.NoErr(resp.Body.Close())
	close(release)
}
