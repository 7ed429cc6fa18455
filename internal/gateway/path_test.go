package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

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
