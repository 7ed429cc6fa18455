package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/handover"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/reach"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// TestHandover guards against a request that runs twice, is refused although it may have run, or
// is refused although another VM could send it, when its VM reaches no upstream; and against a
// stream that another VM sends to another software version without a record that a majority has.
func TestHandover(t *testing.T) {
	datadriven.Walk(t, "testdata/handovers", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return runHandover(t, data)
		})
	})
}

// runHandover sends one request to a VM that reaches no upstream. The argument targets holds what
// the other VMs do, the one of which requests are handed over first in front. The input holds the
// responses of the upstreams as in runCase.
func runHandover(t *testing.T, data *datadriven.TestData) string {
	upstreams := &scriptedUpstreams{}
	for part := range strings.SplitSeq(data.Input+"\n", "--\n") {
		if part = strings.TrimSuffix(part, "\n"); part != "" {
			upstreams.answers = append(upstreams.answers, strings.ReplaceAll(part, `\n`, "\n"))
		}
	}
	kind, attempts, patience := "idempotent", 2, 3000
	records := &memoryRecorder{}
	var targets []handover.Target
	var hurries []string // the time that callers of earlier requests wait, in milliseconds
	// later is set if the path is lost while the request waits for its first upstream, which has
	// written begun.
	later, begun := false, ""
	ratio := 10.0 // repeats for each request
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "kind":
			kind = arg.Vals[0]
		case "attempts":
			attempts, _ = strconv.Atoi(arg.Vals[0])
		case "patience":
			patience, _ = strconv.Atoi(arg.Vals[0])
		case "later":
			later = true
			if len(arg.Vals) > 0 {
				begun = begunStreams[arg.Vals[0]]
			}
		case "ratio":
			ratio, _ = strconv.ParseFloat(arg.Vals[0], 64)
		case "software": // the version of the upstreams of the other VMs
			upstreams.software = slices.Repeat(arg.Vals, 3)
		case "hurries":
			hurries = arg.Vals
		case "targets":
			for i, does := range arg.Vals {
				// Each VM of another zone has the cost of some requests more.
				target := handover.Target{VM: core.VMID(strconv.Itoa(i) + does), Zone: core.ZoneID([]string{"z", "y"}[min(i, 1)])}
				target.Address = startTarget(t, does, routedTable(upstreams, t, kind, attempts, does), records)
				targets = append(targets, target)
			}
		}
	}
	table := routedTable(&scriptedUpstreams{}, t, kind, attempts, "")
	table.SetHandoverTargets("control", targets)
	options := handoverOptions(table, records)
	options.Repeats.Ratio = ratio
	gateway, closeGateway := New(options)
	t.Cleanup(closeGateway)
	if later {
		go cutAfterArrival(t, gateway, useSilentUpstream(t, table, begun))
	} else {
		cutPath(gateway)
	}
	server := httptest.NewServer(gateway)
	defer server.Close()
	text := ""
	for _, hurried := range hurries {
		text += sendRequest(server, "r0", map[string]string{"Patience": hurried})
	}
	text += sendRequest(server, "r1", map[string]string{"Patience": strconv.Itoa(patience)})
	text += upstreams.sends()
	records.lock.Lock()
	defer records.lock.Unlock()
	for _, line := range records.lines {
		text += line + "\n"
	}
	return text
}

// routedTable returns a table with a route of the given kind and three upstreams. That of an old
// VM has a lower number.
func routedTable(upstreams *scriptedUpstreams, t *testing.T, kind string, attempts int, does string) *fleet.Table {
	number := core.ConfigNumber(2)
	if does == "old" {
		number = 1
	}
	kinds := map[string]core.RouteKind{"idempotent": core.Idempotent, "non-idempotent": core.NonIdempotent, "stream": core.Stream, "resumable": core.Stream}
	table := upstreams.start(t, 3)
	// The head of the caller's request is below the limit, and that with the headers for another VM
	// is not.
	limits := core.CallerLimits{HeaderBytes: 140}
	table.SetRoutes(core.RouteTable{Number: number, Limits: limits, Routes: []core.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: kinds[kind], Resumable: kind == "resumable", Timeout: 4 * time.Second, MaxAttempts: attempts,
		Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
	}}, Services: []core.ServiceSpec{{Service: "s"}}})
	return table
}

func handoverOptions(table *fleet.Table, records *memoryRecorder) Options {
	return Options{
		Table: table, Dialect: testDialect{}, Recorder: records, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: log.New(io.Discard),
		Origins: knownOrigins{"r1", origin.Origin{Service: "s", Software: "v1", Send: 1}},
	}
}

// cutPath makes a gateway believe that it reaches no upstream of the service. It does not probe.
func cutPath(gateway *Gateway) {
	gateway.paths.update("s", func(path *path) {
		path.probing = true
		for _, upstream := range []core.UpstreamID{"u0", "u1", "u2"} {
			path.Failed(clock.Now(), reach.Failure{Upstream: upstream, Kind: reach.TimedOut, Began: clock.Now(), Known: 3})
		}
	})
}

// beginHead is the head of a stream, and begunStreams holds streams of one event that have no end.
const beginHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

var begunStreams = map[string]string{
	"named":   beginHead + "f\r\nid: 1\ndata: a\n\n\r\n",
	"unnamed": beginHead + "9\r\ndata: a\n\n\r\n",
}

// useSilentUpstream replaces the upstreams of a table by one that reads requests and answers
// only what is given, and returns a channel that gets a value when one has arrived.
func useSilentUpstream(t *testing.T, table *fleet.Table, begun string) <-chan struct{} {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	for i := range 3 {
		table.SetInstance(clock.Now(), core.Instance{
			Upstream: core.UpstreamID(fmt.Sprint("u", i)), Born: 1, Sequence: 2, Service: "s", Software: "v1", Address: listener.Addr().String(), Zone: "z", Slots: 4,
		})
	}
	arrived := make(chan struct{}, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, begun)
				arrived <- struct{}{}
			}
		}
	}()
	return arrived
}

// cutAfterArrival makes a gateway lose the path once a request has arrived.
func cutAfterArrival(t *testing.T, gateway *Gateway, arrived <-chan struct{}) {
	select {
	case <-arrived:
		<-time.After(100 * time.Millisecond) // the caller has what the upstream has written
		cutPath(gateway)
	case <-t.Context().Done():
	}
}

// startTarget starts another VM that does what the name says, and returns its address.
func startTarget(t *testing.T, does string, table *fleet.Table, records *memoryRecorder) string {
	switch does {
	case "serves", "cut", "stops", "slow", "old", "loses":
		gateway, closeGateway := New(handoverOptions(table, records))
		t.Cleanup(closeGateway)
		if does == "cut" {
			cutPath(gateway)
		}
		if does == "loses" {
			go cutAfterArrival(t, gateway, useSilentUpstream(t, table, ""))
		}
		if does == "stops" {
			t.Cleanup(gateway.Stop(time.Now(), time.Now().Add(time.Second)))
		}
		handler := gateway.Takeover()
		if does == "slow" {
			handler = delayed(handler)
		}
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	default:
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		if does == "down" {
			// Nothing listens at the port of an open connection, and nothing else gets it.
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			return conn.LocalAddr().String()
		}
		go serveFault(listener, does)
		return listener.Addr().String()
	}
}

// delayed begins with each request after a time in which a VM does not count as standing still, and
// not if the first VM has given it up meanwhile.
func delayed(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		<-time.After(acceptTimeout / 2)
		if err != nil || request.Context().Err() != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(writer, request)
	})
}

// faults holds what the VMs that do not work send before they close the connection.
var faults = map[string]string{
	"ends":        "",
	"accepts":     "HTTP/1.1 102 Processing\r\n\r\n",
	"breaks":      "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 10\r\n\r\nok",
	"breaks-late": "HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
}

// serveFault reads requests and answers them as a VM that does not work. One that stands still
// answers nothing.
func serveFault(listener net.Listener, does string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if does == "still" {
				_, _ = io.Copy(io.Discard, conn)
			}
			_, _ = io.WriteString(conn, faults[does])
		}()
	}
}
