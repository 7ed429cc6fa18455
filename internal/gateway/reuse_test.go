package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/handover"
)

// TestReuse guards against a connection to an upstream, or to a VM that takes requests over, that
// is closed while it carries a request, because the caller of the request before it leaves while
// its answer is still written.
func TestReuse(t *testing.T) {
	datadriven.RunTest(t, "testdata/reuse", func(t *testing.T, data *datadriven.TestData) string {
		var sender string
		data.ScanArgs(t, "sender", &sender)
		return runReuse(t, sender == "vm")
	})
}

// longAnswer is larger than the buffers of two sockets.
const longAnswer = 7 << 20

// runReuse returns the answer to a request whose connection has carried one with a long answer, of
// which the caller leaves.
func runReuse(t *testing.T, handsOver bool) string {
	is := is.New(t)
	arrived, answered := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Id", request.Header.Get("Id"))
		writer.Header().Set("Signed", "1")
		if request.Header.Get("Id") == "r1" {
			_, _ = writer.Write(bytes.Repeat([]byte("a"), longAnswer))
			return
		}
		close(arrived)
		select {
		case <-answered:
		case <-request.Context().Done():
		}
	}))
	defer server.Close()
	table, address := fleet.NewTable("z"), server.Listener.Addr().String()
	table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: core.NonIdempotent, Timeout: 10 * time.Second, MaxAttempts: 1, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
	}}})
	table.SetInstance(clock.Now(), core.Instance{Upstream: "u0", Born: 1, Sequence: 1, Service: "s", Software: "v1", Address: address, Zone: "z", Slots: 4})
	gateway, closeGateway := New(handoverOptions(table, &memoryRecorder{}))
	defer closeGateway()
	if handsOver {
		table.SetHandoverTargets("control", []handover.Target{{VM: "v", Zone: "z", Address: address}})
		cutPath(gateway)
	}
	caller := httptest.NewServer(gateway)
	defer caller.Close()
	conn, err := net.Dial("tcp", caller.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	_, err = io.WriteString(conn, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	is.NoErr(err) // the connection of the first request is free
	result := make(chan string, 1)
	go func() { result <- sendRequest(caller, "r2", nil) }()
	<-arrived
	is.NoErr(conn.Close())
	<-time.After(200 * time.Millisecond) // the gateway notices that the first caller has left
	close(answered)
	return <-result
}
