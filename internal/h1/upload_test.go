package h1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// uploadServer answers requests before it has read their bodies.
type uploadServer struct {
	// answer is the head and body of the response, and rest what is sent of it after the body of
	// the request was read.
	answer, rest string
	// end is how the connection ends: "reset" at once, "close" with unread bytes, "drain" after
	// the body was read, "half" by the end of its own direction alone, "late" by a reset after the
	// body was read.
	end string
	// delay is the time from the part of the response to the end, in nanoseconds.
	delay atomic.Int64
}

// serve answers one request on each connection.
func (server *uploadServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.answerOne(conn.(*net.TCPConn))
	}
}

func (server *uploadServer) answerOne(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, server.answer)
	timer := time.NewTimer(time.Duration(server.delay.Load()))
	<-timer.C
	switch server.end {
	case "reset":
		_ = conn.SetLinger(0)
	case "drain", "late":
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, server.rest)
		if server.end == "late" {
			_ = conn.SetLinger(0)
		}
	case "half":
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// uploadHeads holds the heads of responses whose body is "part" and "rest", by how they state its
// end.
var uploadHeads = map[string][2]string{
	"none":   {"HTTP/1.1 200 OK\r\n\r\npart", "rest"},
	"length": {"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart", "rest"},
	"whole":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", ""},
	"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "4\r\nrest\r\n0\r\n\r\n"},
	"events": {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", ""},
}

// TestUploads guards against a part of a response that counts as the whole one, as its connection
// was reset while the request was still being written; and against a whole response that is
// rejected because it came before the end of the request.
func TestUploads(t *testing.T) {
	datadriven.RunTest(t, "testdata/uploads", func(t *testing.T, data *datadriven.TestData) string {
		server := &uploadServer{}
		stated, size, runs, delay := "", 0, 0, 0
		data.ScanArgs(t, "states", &stated)
		data.ScanArgs(t, "end", &server.end)
		data.ScanArgs(t, "size", &size)
		data.ScanArgs(t, "runs", &runs)
		data.MaybeScanArgs(t, "delay", &delay)
		server.answer, server.rest = uploadHeads[stated][0], uploadHeads[stated][1]
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go server.serve(listener)
		outcomes := make(map[string]int)
		for run := range runs {
			server.delay.Store(int64(time.Duration(delay*run/max(1, runs-1)) * time.Millisecond))
			outcomes[upload(t, listener.Addr().String(), size)]++
		}
		var text strings.Builder
		for _, name := range []string{"part", "partrest", "id: 1\ndata: a\n\n", "error"} {
			if outcomes[name] > 0 {
				fmt.Fprintf(&text, "%q: %d\n", name, outcomes[name])
			}
		}
		return text.String()
	})
}

// upload sends a request with a body of the given size and returns the body of the response, or
// "error" if it is not complete.
func upload(t *testing.T, address string, size int) string {
	var pool Pool
	defer pool.Close()
	key := Key{Address: address}
	conn, err := pool.Dial(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Drop(key, conn)
	stop := time.AfterFunc(10*time.Second, func() { conn.Close() })
	defer stop.Stop()
	if _, err := conn.Send(fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size), make([]byte, size)); err != nil {
		return "error"
	}
	response, err := conn.ReadResponse(http.MethodPost) //nolint:bodyclose // the connection is closed
	if err != nil {
		return "error"
	}
	var memory Memory
	reservation, release := memory.Reserve()
	defer release()
	body, err := ReadStated(response.Body, response.ContentLength, 1<<20, reservation)
	if err != nil {
		return "error"
	}
	return string(body)
}
