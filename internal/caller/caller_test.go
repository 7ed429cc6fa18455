package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// maxTestBody is the body size limit in the test, in bytes.
const maxTestBody = 4096

// twoTokenServer answers every request with two tokens. If breakAfterFirst is set, the
// answer ends with an error after the first token.
type twoTokenServer struct {
	breakAfterFirst bool
	calls           int
	// path is the path of the last request.
	path string
}

func (server *twoTokenServer) Serve(_ context.Context, request entry.Request, responder entry.Responder) core.End {
	server.calls++
	server.path = request.Path
	answer := entry.Answer{Request: "r", Attempt: "a", Config: 1, Head: core.Head{Status: http.StatusOK}}
	answer.Pin.AdapterVersion = core.AdapterVersion{Adapter: request.Wanted.Adapter, Version: "1"}
	end := core.End{Whole: true, Outcome: core.Ran}
	if err := responder.Head(answer); err != nil {
		return core.End{Outcome: core.Ran, Code: core.CodeStreamBroken}
	}
	for _, token := range []string{"one ", "two "} {
		if err := responder.Data([]byte(`data: {"choices":[{"delta":{"content":"` + token + `"}}]}` + "\n\n")); err != nil {
			return core.End{Outcome: core.Ran, Code: core.CodeStreamBroken}
		}
		if server.breakAfterFirst {
			return core.End{Outcome: core.Ran, Code: core.CodeStreamBroken, Message: "the engine was lost"}
		}
	}
	return end
}

// Ready is always true.
func (server *twoTokenServer) Ready() bool { return true }

// TestRequests guards against invalid input that reaches the server or is answered without
// a typed error, and against a partial answer that looks complete.
func TestRequests(t *testing.T) {
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, data *datadriven.TestData) string {
		server := &twoTokenServer{breakAfterFirst: data.HasArg("break")}
		httpServer := httptest.NewServer(New(server, server, maxTestBody, &guard.Bodies{}).Router())
		defer httpServer.Close()
		status, body := sendRequest(t, httpServer.Listener.Addr().String(), formatRequest(t, data))
		return fmt.Sprintf("%d %s\nserved %d", status, strings.ReplaceAll(strings.TrimRight(body, "\n"), "\n\n", "\n"), server.calls)
	})
}

// formatRequest formats the HTTP request as text, since an HTTP client would not send a
// Content-Length that differs from the length of the body.
func formatRequest(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var path, key string
	var padding int
	data.ScanArgs(t, "path", &path)
	data.MaybeScanArgs(t, "key", &key)
	data.MaybeScanArgs(t, "fill", &padding)
	body := data.Input + strings.Repeat(" ", padding)
	length := len(body)
	data.MaybeScanArgs(t, "length", &length)
	if key == "long" {
		key = strings.Repeat("k", maxIdempotencyKey+1)
	}
	header := "Idempotency-Key: " + key + "\r\n"
	if data.HasArg("keyless") {
		header = ""
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: vm\r\n%sContent-Length: %d\r\n\r\n%s", path, header, length, body)
}

// sendRequest sends the request to the address and returns the status and the body of the
// response.
func sendRequest(t *testing.T, address, request string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var body bytes.Buffer
	if _, err := io.Copy(&body, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, body.String()
}

// TestServicePath guards against a call to a plain service whose escaped path is decoded on
// the way: an escaped question mark or slash would reach the service as itself.
func TestServicePath(t *testing.T) {
	is := is.New(t)
	server := &twoTokenServer{}
	httpServer := httptest.NewServer(New(server, server, maxTestBody, &guard.Bodies{}).Router())
	defer httpServer.Close()
	const path = "/slots/a%2Fb%3Fall%20"
	request := "POST /v1/services/billing" + path + "?day=1 HTTP/1.1\r\nHost: vm\r\nContent-Length: 0\r\n\r\n"
	status, _ := sendRequest(t, httpServer.Listener.Addr().String(), request)
	is.Equal(status, http.StatusOK)
	is.Equal(server.path, path)
}

// TestStalledBody guards against a caller that holds a connection and the memory of its body for
// ever, because the body stops before its end.
func TestStalledBody(t *testing.T) {
	is := is.New(t)
	server := &twoTokenServer{}
	handler := New(server, server, maxTestBody, &guard.Bodies{})
	handler.bodies.Time = 50 * time.Millisecond
	httpServer := httptest.NewServer(handler.Router())
	defer httpServer.Close()
	conn, err := net.Dial("tcp", httpServer.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: vm\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.Equal(server.calls, 0)
}

// FuzzParseCompletion guards against a request body that makes the VM panic, is accepted
// without an adapter, or yields more than maxPrefixes hashes.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"alpha@1","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"alpha","prompt":["a","b"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, refusal := parseCompletion(body)
		if refusal == nil && parsed.adapter.IsZero() {
			t.Fatal("a request without an adapter was accepted")
		}
		if len(parsed.prefixHashes()) > maxPrefixes {
			t.Fatal("too many prefixes")
		}
	})
}

// TestDataOfSeveralLines guards against an event whose data has several lines and is read as
// several events.
func TestDataOfSeveralLines(t *testing.T) {
	is := is.New(t)
	responder := &bufferedResponder{}
	is.NoErr(responder.Data([]byte("id: 1\ndata: {\"choices\":\ndata: [{\"text\":\"one \"}]}\n\ndata: {\"choices\":[{\"text\":\"two\"}]}\n\n")))
	is.Equal(responder.text.String(), "one two")
	is.Equal(responder.tokens, 2)
}
