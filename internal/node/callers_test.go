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
	"github.com/matryer/is"

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

// TestSlowHeadBehindStream guards against the response to a slow head that is written into the
// answer to the request before it: the head of a next request stays incomplete for longer than
// its timeout while a stream is written.
func TestSlowHeadBehindStream(t *testing.T) {
	const headTimeout = 50 * time.Millisecond
	is := is.New(t)
	conns := &callerConns{}
	conns.setLimits(core.CallerLimits{HeaderTimeout: headTimeout, IdleTimeout: headTimeout})
	listener, err := listen("127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{
		ReadHeaderTimeout: maxServerTimeout, IdleTimeout: maxServerTimeout, ConnState: trackPhase,
		Handler: conns.closeAfterResponse(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "one ")
			_ = http.NewResponseController(writer).Flush()
			<-time.After(4 * headTimeout)
			_, _ = io.WriteString(writer, "two")
		})),
	}
	go func() { _ = server.Serve(callerListener{listener, conns}) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(clientTimeout)))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHo")
	is.NoErr(err)
	received, err := io.ReadAll(conn)
	is.NoErr(err)
	_, body, _ := strings.Cut(string(received), "\r\n\r\n")
	answer, rest, _ := strings.Cut(body, "0\r\n\r\n")
	is.Equal(answer, "4\r\none \r\n3\r\ntwo\r\n")
	is.True(rest == "" || strings.HasPrefix(rest, "HTTP/1.1 4")) // the answer to the slow head is behind it
}
