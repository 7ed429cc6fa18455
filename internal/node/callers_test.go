package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// patience bounds the wait for what the server does. It is far above all limits of the
// cases, so that a busy machine does not change their outcome.
const patience = 10 * time.Second

// TestCallers guards against a caller that holds a connection for longer than the
// operators allow, against one within the limits that is cut off, and against a request
// that gets no answer because the VM stops while its head is read. Cases are read from
// testdata/callers; each is one connection.
func TestCallers(t *testing.T) {
	datadriven.RunTest(t, "testdata/callers", func(t *testing.T, data *datadriven.TestData) string {
		callers := &callers{}
		next := core.CallerLimits{}
		for _, arg := range data.CmdArgs {
			span, err := time.ParseDuration(arg.Vals[0])
			if err != nil {
				t.Fatal(err)
			}
			switch arg.Key {
			case "header":
				next.HeaderTimeout = span
			case "idle":
				next.IdleTimeout = span
			}
		}
		callers.setLimits(next)
		return converse(t, callers, serveEcho(t, callers), data.Input)
	})
}

// serveEcho runs a server that answers with the body of each request.
func serveEcho(t *testing.T, callers *callers) string {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: longestLimit, IdleTimeout: longestLimit, ConnState: followPhase,
		Handler: callers.closing(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, err := io.ReadAll(request.Body)
			writer.WriteHeader(http.StatusOK)
			fmt.Fprintf(writer, "%s %v", body, err)
		})),
	}
	go func() { _ = server.Serve(callerListener{listener, callers}) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// converse sends the lines of a case: "send TEXT", "pause TIME", "stop" for the order to
// stop, "end-idle" for the end of new connections, "answer" for the next answer, and "end" for the end of the connection.
func converse(t *testing.T, callers *callers, address, lines string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	var out strings.Builder
	for line := range strings.Lines(lines) {
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		switch word {
		case "send":
			if _, err := io.WriteString(conn, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(rest)); err != nil {
				fmt.Fprintf(&out, "not sent\n")
			}
		case "pause":
			span, err := time.ParseDuration(rest)
			if err != nil {
				t.Fatal(err)
			}
			<-time.After(span)
		case "stop":
			callers.stop()
		case "end-idle":
			callers.end()
		case "answer":
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				fmt.Fprintf(&out, "no answer\n")
				continue
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			fmt.Fprintf(&out, "%d %q %v close=%t\n", response.StatusCode, body, err, response.Close)
		case "end":
			_, err := reader.ReadByte()
			fmt.Fprintf(&out, "%v\n", err)
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return out.String()
}
