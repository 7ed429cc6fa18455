package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// serveEarly answers the requests of a listener before it has read their bodies, and resets the
// connections.
func serveEarly(listener net.Listener, answer string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
			timer := time.NewTimer(5 * time.Millisecond)
			<-timer.C
			_ = conn.(*net.TCPConn).SetLinger(0)
		}()
	}
}

// TestEarlyAnswers guards against a part of an answer that a caller gets as the whole one, as the
// upstream has reset the connection while the request was still being written.
func TestEarlyAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/early", func(t *testing.T, data *datadriven.TestData) string {
		size, runs := 0, 0
		data.ScanArgs(t, "size", &size)
		data.ScanArgs(t, "runs", &runs)
		kind := map[string]core.RouteKind{"call": core.NonIdempotent, "stream": core.Stream}[data.Cmd]
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		answer := strings.NewReplacer("\n", "\r\n", `\n`, "\n").Replace(data.Input)
		if !strings.Contains(data.Input, "\n\n") {
			answer += "\r\n\r\npart"
		}
		go serveEarly(listener, answer)
		outcomes := make(map[string]int)
		for range runs {
			outcomes[uploadEarly(t, kind, listener.Addr().String(), size)]++
		}
		var text strings.Builder
		for outcome, count := range outcomes {
			fmt.Fprintf(&text, "%s: %d\n", outcome, count)
		}
		return text.String()
	})
}

// uploadEarly sends a request with a large body through a gateway to an upstream and returns the
// answer.
func uploadEarly(t *testing.T, kind core.RouteKind, address string, size int) string {
	table := fleet.NewTable("z")
	table.SetInstance(clock.Now(), core.Instance{Upstream: "u0", Born: 1, Sequence: 1, Service: "s", Address: address, Zone: "z", Slots: 4})
	table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Timeout: 10 * time.Second, MaxAttempts: 1, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
	}}, Services: []core.ServiceSpec{{Service: "s"}}})
	gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: log.New(io.Discard)})
	defer closeGateway()
	server := httptest.NewServer(gateway)
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/p/a", bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("Id", "r1")
	response, err := server.Client().Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d whole=%t part=%t", response.StatusCode, err == nil, strings.Contains(string(body), "part"))
}
