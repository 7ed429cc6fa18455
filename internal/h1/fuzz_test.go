package h1

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"
)

// memoryConn is a connection whose input is a fixed sequence of bytes.
type memoryConn struct {
	net.Conn
	input *bytes.Reader
}

func (conn memoryConn) Read(buffer []byte) (int, error) { return conn.input.Read(buffer) }
func (memoryConn) SetReadDeadline(time.Time) error      { return nil }

// FuzzReadResponse guards against bytes of an upstream that make the reader panic, or that
// it accepts although they are over a bound, and against a connection that is used again
// with bytes of the response unread.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\n\nuntil the end"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=9\r\n\r\nHTTP/1.1 200 OK\r\n"))
	f.Add(bytes.Repeat([]byte("X: y\r\n"), maxHeadLines+1))
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 1 << 10
		source := memoryConn{input: bytes.NewReader(input)}
		conn := &Conn{Conn: source, reader: bufio.NewReaderSize(source, readBufferSize)}
		response, err := conn.ReadResponse(http.MethodGet) //nolint:bodyclose // the connection is in memory
		if err != nil {
			return
		}
		if len(response.Header) > maxHeadLines {
			t.Fatalf("a head of %d lines was accepted", len(response.Header))
		}
		var memory Memory
		reservation, release := memory.Reserve()
		defer release()
		body, err := ReadAll(response.Body, limit, reservation)
		if len(body) > limit {
			t.Fatalf("a body of %d bytes was accepted", len(body))
		}
		if conn.reusable() && (err != nil || conn.reader.Buffered() > 0) {
			t.Fatal("the connection is reusable although the response was not read to its end")
		}
	})
}
