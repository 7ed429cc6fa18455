package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/route"
)

// TestSentPath guards against a percent-encoded slash that selects the route of a longer prefix than
// the one that begins the path: its service is not meant for the request.
func TestSentPath(t *testing.T) {
	var table core.RouteTable
	for _, prefix := range []string{"/area/", "/area/part/", "/100%25/", "/"} {
		table.Routes = append(table.Routes, core.Route{Host: "host.example", Prefix: prefix})
	}
	index := route.NewIndex(table)
	datadriven.RunTest(t, "testdata/paths/routes", func(_ *testing.T, data *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(data.Input) {
			target := strings.TrimSpace(line)
			head := "GET " + target + " HTTP/1.1\r\nHost: host.example\r\n\r\n"
			incoming, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			if err != nil {
				fmt.Fprintf(&out, "%s: not a request\n", target)
				continue
			}
			fmt.Fprintf(&out, "%s: %s\n", target, index.Match(incoming.Host, sentPath(incoming)).Prefix)
		}
		return out.String()
	})
}

// TestEncodedSlash guards against a gateway that matches routes with a decoded path: the request for
// /p/a%2Fb would go to the service of /p/a/, which has no upstream here.
func TestEncodedSlash(t *testing.T) {
	upstreams := &scriptedUpstreams{headers: []string{"To"}, answers: []string{"HTTP/1.1 200 OK\nId: r1\nSigned: 1\nContent-Length: 2\n\nok"}}
	table := upstreams.start(t, 1)
	routeOf := func(prefix string, service core.ServiceID) core.Route {
		return core.Route{Name: core.RouteName(prefix), Host: "h.example", Prefix: prefix, Kind: core.Idempotent, Timeout: 6 * time.Second, Targets: []core.RouteTarget{{Service: service, Weight: 1}}}
	}
	table.SetRoutes(core.RouteTable{
		Number: 1, Routes: []core.Route{routeOf("/p/", "s"), routeOf("/p/a/", "other")}, Services: []core.ServiceSpec{{Service: "s"}, {Service: "other"}},
	})
	gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Logger: log.New(io.Discard)})
	defer closeGateway()
	server := httptest.NewServer(gateway)
	defer server.Close()
	if text := sendRequest(server, "r1", nil); !strings.HasPrefix(text, `200 "ok"`) {
		t.Error(text)
	}
}
