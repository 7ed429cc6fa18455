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

// clientTimeout bounds the reads from the server. It is far above all timeouts of the cases,
// so that a busy machine does not change their outcome.
const clientTimeout = 10 * time.Second

// TestCallers guards against a connection that stays open for longer than the operators
// allow, against closing one that is within the limits, and against a request that gets no
// response because the VM stops while its header is read. Cases are read from
// testdata/callers; each uses one connection.
func TestCallers(t *testing.T) {
	datadriven.RunTest(t, "testdata/callers", func(t *testing.T, data *datadriven.TestData) string {
		conns := &callerConns{}
		limits := core.CallerLimits{}
		for _, arg := range data.CmdArgs {
			span, err := time.ParseDuration(arg.Vals[0])
			if err != nil {
				t.Fatal(err)
			}
			switch arg.Key {
			case "header":
				limits.HeaderTimeout = span
			case "idle":
				limits.IdleTimeout = span
			}
		}
		conns.setLimits(limits)
		return runScript(t, conns, serveEcho(t, conns), data.Input)
	})
}

// serveEcho starts a server that returns the body of each request and returns its address.
func serveEcho(t *testing.T, conns *callerConns) string {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: maxServerTimeout, IdleTimeout: maxServerTimeout, ConnState: trackPhase,
		Handler: conns.closeAfterResponse(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, err := io.ReadAll(request.Body)
			writer.WriteHeader(http.StatusOK)
			fmt.Fprintf(writer, "%s %v", body, err)
		})),
	}
	go func() { _ = server.Serve(callerListener{listener, conns}) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// runScript runs the lines of a case on a new connection to address and returns the output.
// The lines are "send TEXT", "pause DURATION", "stop" to call closeIdle, "end-idle" to call
// closeUnused, "answer" to read the next response, and "end" to read the end of the
// connection.
func runScript(t *testing.T, conns *callerConns, address, lines string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(clientTimeout)); err != nil {
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
			conns.closeIdle()
		case "end-idle":
			conns.closeUnused()
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
