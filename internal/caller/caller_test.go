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

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// maxTestBody is the limit of bodies in the test, in bytes.
const maxTestBody = 4096

// twoTokens serves every request with two tokens, and breaks after the first if told so.
type twoTokens struct {
	breaks bool
	served int
}

func (server *twoTokens) Serve(_ context.Context, request entry.Request, responder entry.Responder) core.End {
	server.served++
	answer := entry.Answer{Request: "r", Attempt: "a", Config: 1}
	answer.Pin.AdapterVersion = core.AdapterVersion{Adapter: request.Wanted.Adapter, Version: "1"}
	end := core.End{Whole: true, Outcome: core.Ran}
	if err := responder.Head(answer); err != nil {
		return core.End{Outcome: core.Ran, Code: core.CodeStreamBroken}
	}
	for _, token := range []string{"one ", "two "} {
		if err := responder.Data([]byte(`data: {"choices":[{"delta":{"content":"` + token + `"}}]}` + "\n\n")); err != nil {
			return core.End{Outcome: core.Ran, Code: core.CodeStreamBroken}
		}
		if server.breaks {
			return core.End{Outcome: core.Ran, Code: core.CodeStreamBroken, Message: "the engine was lost"}
		}
	}
	return end
}

// Ready is always true.
func (server *twoTokens) Ready() bool { return true }

// TestRequests guards against bad input that is run or answered without a typed error,
// and against half an answer that looks whole.
func TestRequests(t *testing.T) {
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, line *datadriven.TestData) string {
		server := &twoTokens{breaks: line.HasArg("break")}
		listener := httptest.NewServer(New(server, server, maxTestBody).Router())
		defer listener.Close()
		status, body := exchange(t, listener.Listener.Addr().String(), rawRequest(t, line))
		return fmt.Sprintf("%d %s\nserved %d", status, strings.ReplaceAll(strings.TrimRight(body, "\n"), "\n\n", "\n"), server.served)
	})
}

// rawRequest writes the request by hand, so that its headers can lie.
func rawRequest(t *testing.T, line *datadriven.TestData) string {
	t.Helper()
	var path, key string
	var fill int
	line.ScanArgs(t, "path", &path)
	line.MaybeScanArgs(t, "key", &key)
	line.MaybeScanArgs(t, "fill", &fill)
	body := line.Input + strings.Repeat(" ", fill)
	length := len(body)
	line.MaybeScanArgs(t, "length", &length)
	if key == "long" {
		key = strings.Repeat("k", maxKey+1)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: vm\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", path, key, length, body)
}

func exchange(t *testing.T, address, request string) (int, string) {
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

// FuzzParseCompletion guards against a body from outside that stops the VM.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"alpha@1","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"alpha","prompt":["a","b"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, refusal := parseCompletion(body)
		if refusal == nil && parsed.wanted.IsZero() {
			t.Fatal("a request without an adapter was accepted")
		}
		if len(parsed.prefixes()) > maxPrefixes {
			t.Fatal("too many prefixes")
		}
	})
}
