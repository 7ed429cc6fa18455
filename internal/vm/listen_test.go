package vm

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/guard"
)

// TestLargeHeader guards against callers that take the memory of a VM with headers without end:
// without a bound, net/http reads up to 1 MiB on each connection.
func TestLargeHeader(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	shutdown := port{guard: &guard.Guard{}}.serve(listener, http.NotFoundHandler())
	defer func() { is.NoErr(shutdown(context.Background())) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	go func() {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: vm\r\nX: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n\r\n")
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
