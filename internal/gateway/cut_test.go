package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// silenceTimeout is the timeout of the route to an upstream that falls silent, which is
	// waited for until then, and cutTimeout that of the others.
	silenceTimeout = time.Second
	cutTimeout     = 10 * time.Second
	// cutsAtOnce is the number of cuts that are played at the same time.
	cutsAtOnce = 48
)

// TestCuts guards against a success that the upstream has not sent whole. Each answer is cut at
// every position, by the end of the connection, by a reset, and by silence. The output has the
// positions at which the caller got a success that looks complete: it must be the last one alone,
// except for a body that ends with its connection.
func TestCuts(t *testing.T) {
	datadriven.Walk(t, "testdata/cuts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			kind := map[string]core.RouteKind{"once": core.NonIdempotent, "stream": core.Stream}[data.Cmd]
			answer := strings.NewReplacer("\n", "\r\n", `\n`, "\n", `\r`, "\r").Replace(data.Input)
			text := fmt.Sprintf("%d bytes\n", len(answer))
			for _, end := range []string{"close", "reset", "silence"} {
				text += end + ": " + playCuts(t, kind, answer, end) + "\n"
			}
			return text
		})
	})
}

// playCuts returns the positions of cuts after which the caller got a complete success. Each
// position has a route, a service and an upstream of its own.
func playCuts(t *testing.T, kind core.RouteKind, answer, end string) string {
	ended := make(chan struct{})
	defer close(ended)
	timeout := cutTimeout
	if end == "silence" {
		timeout = silenceTimeout
	}
	table := fleet.NewTable("z")
	routes := core.RouteTable{Number: 1}
	successes := make([]bool, len(answer)+1)
	for at := range successes {
		name := strconv.Itoa(at)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go writeCut(conn, answer[:at], end, ended)
			}
		}()
		table.SetInstance(clock.Now(), core.Instance{
			Upstream: core.UpstreamID(name), Born: 1, Sequence: 1, Service: core.ServiceID(name), Software: "v1", Address: listener.Addr().String(), Zone: "z", Slots: 4,
		})
		routes.Services = append(routes.Services, core.ServiceSpec{Service: core.ServiceID(name)})
		routes.Routes = append(routes.Routes, core.Route{
			Name: core.RouteName(name), Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, MaxAttempts: 1,
			Targets: []core.RouteTarget{{Service: core.ServiceID(name), Weight: 1}},
		})
	}
	table.SetRoutes(routes)
	gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Logger: log.New(io.Discard)})
	defer closeGateway()
	server := httptest.NewServer(gateway)
	defer server.Close()
	places := make(chan struct{}, cutsAtOnce)
	var running sync.WaitGroup
	for at := range successes {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			successes[at] = playCut(server, at)
		})
	}
	running.Wait()
	var spans []string
	for at := 0; at < len(successes); at++ {
		first := at
		for at < len(successes) && successes[at] {
			at++
		}
		switch at - first {
		case 0:
		case 1:
			spans = append(spans, strconv.Itoa(first))
		default:
			spans = append(spans, fmt.Sprintf("%d-%d", first, at-1))
		}
	}
	if len(spans) == 0 {
		return "no success"
	}
	return "success at " + strings.Join(spans, " ")
}

// playCut asks for an answer that is cut at a position, and reports whether the caller got a
// complete success.
func playCut(server *httptest.Server, at int) bool {
	request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/%d/", server.URL, at), nil)
	request.Host = "h.example"
	request.Header.Set("Id", fmt.Sprint("r", at))
	response, err := server.Client().Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode < http.StatusMultipleChoices
}

// writeCut answers one request with a part of an answer.
func writeCut(conn net.Conn, part, end string, ended <-chan struct{}) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, part)
	switch end {
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
	case "silence":
		<-ended
	}
}
