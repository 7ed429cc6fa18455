package intake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against callers that take the connections kept for probes, other VMs and
// upstreams, against dropping a client that makes progress, and against limits that do not follow
// from the process. The load: as many connections as the process may have, of any class.
func TestScripts(t *testing.T) {
	names := map[string]Class{"callers": Callers, "platform": Platform, "peers": Peers, "operators": Operators, "upstreams": Upstreams}
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "process" {
			var memory, descriptors int
			data.ScanArgs(t, "memory_mb", &memory)
			data.ScanArgs(t, "descriptors", &descriptors)
			limits := ForProcess(core.Bytes(memory)<<20, descriptors)
			return fmt.Sprintf("connections %d, head fields %d, heads %d, bodies %d, stall %v\n", limits.Connections, limits.HeadFields, limits.Heads, limits.Bodies, limits.Stall)
		}
		table := &Table{}
		data.ScanArgs(t, "connections", &table.Limits.Connections)
		for _, arg := range data.CmdArgs {
			if arg.Key == "serves" {
				for _, name := range arg.Vals {
					table.Serve(names[name])
				}
			}
		}
		var out strings.Builder
		var best *Client
		for line := range strings.Lines(data.Input) {
			fields := strings.Fields(line)
			class := names[fields[1]]
			var number, stalled int
			if len(fields) > 2 {
				_, _ = fmt.Sscan(fields[2], &number)
			}
			switch fields[0] {
			case "open":
				accepted := 0
				for range number {
					if table.Open(class) == Accept {
						table.Opened(class)
						accepted++
					}
				}
				fmt.Fprintf(&out, "%s: %d of %d\n", fields[1], accepted, number)
			case "close":
				for range number {
					table.Closed(class)
				}
			case "client":
				_, _ = fmt.Sscan(fields[3], &stalled)
				client := Client{Class: class, Held: core.Bytes(number), Stalled: time.Duration(stalled) * time.Millisecond, Kept: len(fields) > 4}
				droppable := table.Droppable(client)
				if droppable && (best == nil || Before(client, *best)) {
					best = &client
				}
				fmt.Fprintf(&out, "%s: droppable %t\n", strings.TrimSpace(line), droppable)
			}
		}
		if best != nil {
			fmt.Fprintf(&out, "first: %v, %d bytes, %v\n", best.Class, best.Held, best.Stalled)
		}
		return out.String()
	})
}

// TestHeadFields guards against a default that a head of the usual limit of 16 KiB reaches.
func TestHeadFields(t *testing.T) {
	if shortest := len("a:\r\n"); 16<<10/shortest > DefaultHeadFields {
		t.Errorf("a head of 16 KiB may have %d lines", 16<<10/shortest)
	}
}
