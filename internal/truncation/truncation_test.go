package truncation

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
)

// TestEnds guards against an answer that breaks off and looks complete to a caller who sees only
// the end of the connection, and against a complete answer that is reset.
func TestEnds(t *testing.T) {
	datadriven.RunTest(t, "testdata/ends", func(t *testing.T, data *datadriven.TestData) string {
		server := httptest.NewUnstartedServer(Handler(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "part ")
			_ = http.NewResponseController(writer).Flush()
			if data.HasArg("breaks") {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(writer, "end")
		})))
		server.Config.ConnContext = ConnContext
		defer server.Close()
		var conn net.Conn
		var err error
		if data.HasArg("tls") {
			server.StartTLS()
			conn, err = tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		} else {
			server.Start()
			conn, err = net.Dial("tcp", server.Listener.Addr().String())
		}
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\nConnection: close\r\n\r\n", data.Input)
		answer, err := io.ReadAll(conn)
		end := "closed"
		if err != nil {
			end = "broken off: " + rootCause(err)
		}
		_, body, _ := strings.Cut(string(answer), "\r\n\r\n")
		return fmt.Sprintf("%q %s\n", body, end)
	})
}

// rootCause returns the text of the innermost error.
func rootCause(err error) string {
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err.Error()
}
