package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestEarlyAnswer guards against a part of an answer of a plain service that counts as the whole
// one, as the service has reset the connection while the request was still being written.
func TestEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			timer := time.NewTimer(5 * time.Millisecond)
			<-timer.C
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	for range 20 {
		client, closeClient := NewClient()
		err := client.Call(t.Context(), listener.Addr().String(), "u", core.Call{Attempt: "a", Method: http.MethodPost, Path: "/", Body: make([]byte, 8<<20)}, func(core.Chunk) error { return nil })
		closeClient()
		var failure *CallError
		if !errors.As(err, &failure) || failure.Outcome == core.NotRun {
			t.Fatalf("the call ended with %v", err)
		}
	}
}
