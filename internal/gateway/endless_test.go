package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// endlessResponses are responses of which the last part is repeated until the connection is
// closed.
var endlessResponses = map[core.ServiceID][2]string{
	"status":  {"HTTP/1.1 200 ", "x"},
	"line":    {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"lines":   {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"interim": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"noise":   {"", "noise"},
	"body":    {"HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n", "x"},
	"chunks":  {"HTTP/1.1 200 OK\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	"event":   {"HTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n", "data: x\n"},
}

// TestEndlessResponses guards against upstreams whose bytes without end take the memory of
// the VM or the service of others: 200 connections receive such responses at a time, while
// requests to a sound upstream are answered. An entry VM has 184 MB.
func TestEndlessResponses(t *testing.T) {
	const (
		connections = 200
		memory      = 184 << 20
		duration    = time.Second
	)
	is := is.New(t)
	table := fleet.NewTable("z")
	routes := core.RouteTable{Number: 1}
	add := func(service core.ServiceID, kind core.RouteKind, address string) {
		table.SetInstance(clock.Now(), core.Instance{
			Upstream: core.UpstreamID(service), Born: 1, Sequence: 1, Service: service, Address: address, Zone: "z", Slots: connections,
		})
		routes.Services = append(routes.Services, core.ServiceSpec{Service: service})
		routes.Routes = append(routes.Routes, core.Route{
			Name: core.RouteName(service), Host: "h", Prefix: "/" + string(service) + "/", Kind: kind, Timeout: 10 * time.Second, MaxAttempts: 1,
			Targets: []core.RouteTarget{{Service: service, Weight: 1}},
		})
	}
	sound := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Id", request.Header.Get("Id"))
		writer.Header().Set("Signed", "1")
		_, _ = io.WriteString(writer, "ok")
	}))
	defer sound.Close()
	add("sound", core.Idempotent, sound.Listener.Addr().String())
	for service, parts := range endlessResponses {
		kind := core.NonIdempotent
		if service == "event" {
			kind = core.Stream
		}
		add(service, kind, listenEndless(t, parts[0], parts[1]))
	}
	table.SetRoutes(routes)
	gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Logger: log.New(io.Discard)})
	defer closeGateway()
	server := httptest.NewServer(gateway)
	defer server.Close()

	var stop, unbounded atomic.Bool
	var sent atomic.Int64
	var running sync.WaitGroup
	for i := range connections {
		service := routes.Routes[1+i%len(endlessResponses)].Name
		running.Go(func() {
			for !stop.Load() {
				status, whole := get(server, string(service))
				if status == http.StatusOK && whole {
					unbounded.Store(true)
				}
				sent.Add(1)
			}
		})
	}
	var peak uint64
	answered := 0
	for started := time.Now(); time.Since(started) < duration || sent.Load() < connections; answered++ {
		status, whole := get(server, "sound")
		is.Equal(status, http.StatusOK)
		is.True(whole)
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapInuse+stats.StackInuse)
	}
	stop.Store(true)
	running.Wait()
	is.True(!unbounded.Load()) // no endless response is a complete success
	is.True(answered > 0)
	t.Logf("peak %d MB, %d answered, %d without end", peak>>20, answered, sent.Load())
	if peak > memory {
		t.Errorf("the process used %d MB, more than the %d MB of an entry VM", peak>>20, memory>>20)
	}
}

// listenEndless starts an upstream that answers each connection with start and then with
// repeated until the connection is closed. It returns its address.
func listenEndless(t *testing.T, start, repeated string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	repeated = strings.Repeat(repeated, 1+8192/len(repeated))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = io.WriteString(conn, repeated)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// get sends a request on a connection of its own. It returns the status, zero if there is
// no response, and whether the response was whole.
func get(server *httptest.Server, service string) (int, bool) {
	request, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/%s/", server.URL, service), nil)
	request.Host = "h"
	request.Header.Set("Id", "r1")
	request.Close = true
	response, err := server.Client().Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}
