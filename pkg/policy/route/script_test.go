package route

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against matching the route of a shorter prefix or of another host,
// and against selecting services out of proportion to their weights.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		index := &Index{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "table":
				index = NewIndex(parseTable(data.Input))
				return "ok\n"
			case "match":
				return match(index, data.Input)
			case "shares":
				return targetShares(index.table.Routes[0])
			default:
				return "unknown command\n"
			}
		})
	})
}

// parseTable parses lines of a name, a host, a prefix and service=weight pairs.
func parseTable(input string) core.RouteTable {
	var table core.RouteTable
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		route := core.Route{Name: core.RouteName(fields[0]), Host: fields[1], Prefix: fields[2], Timeout: time.Second}
		for _, field := range fields[3:] {
			service, weight, _ := strings.Cut(field, "=")
			value, _ := strconv.ParseFloat(weight, 64)
			route.Targets = append(route.Targets, core.RouteTarget{Service: core.ServiceID(service), Weight: core.Weight(value)})
		}
		table.Routes = append(table.Routes, route)
	}
	return table
}

func match(index *Index, input string) string {
	var out strings.Builder
	for line := range strings.Lines(input) {
		host, path, _ := strings.Cut(strings.TrimSpace(line), " ")
		name := "none"
		if route := index.Match(host, path); route != nil {
			name = string(route.Name)
		}
		fmt.Fprintf(&out, "%s %s: %s\n", host, path, name)
	}
	return out.String()
}

// targetShares formats the fraction of 10000 keys for which each target is selected.
func targetShares(route core.Route) string {
	const keys = 10000
	counts := make(map[core.ServiceID]int)
	for i := range keys {
		counts[SelectTarget(&route, fmt.Sprintf("request-%d", i))]++
	}
	var out strings.Builder
	for _, target := range route.Targets {
		fmt.Fprintf(&out, "%s %.2f\n", target.Service, float64(counts[target.Service])/keys)
	}
	return out.String()
}
