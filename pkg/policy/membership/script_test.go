package membership

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against an upstream that becomes available again through a late
// announcement, keeps an address that another upstream has taken over, stays in use
// after it announced that it is leaving, or gets no request any more because another writer
// announced its ID or address for a service that no configuration names.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := NewTable(Timing{Silence: 4 * time.Second, Removal: 30 * time.Second})
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			instance := core.Instance{
				Upstream: core.UpstreamID(argument(data, "id")), Born: integerArgument(data, "born"), Sequence: uint64(integerArgument(data, "seq")),
				Service: core.ServiceID(cmp.Or(argument(data, "service"), "s")), Address: argument(data, "address"), Zone: "z", Slots: 1,
				Leaving: data.HasArg("leaving"), Gone: data.HasArg("gone"), Silent: data.HasArg("silent"),
			}
			now := time.Duration(integerArgument(data, "at")) * time.Second
			switch data.Cmd {
			case "services":
				services := make(map[core.ServiceID]bool)
				for _, arg := range data.CmdArgs {
					services[core.ServiceID(arg.Key)] = true
				}
				table.SetServices(services)
				return "ok\n"
			case "announce":
				return fmt.Sprintf("changed=%t\n", table.Announce(now, instance))
			case "merge":
				return fmt.Sprintf("changed=%t\n", table.Merge(instance))
			case "leave":
				return fmt.Sprintf("changed=%t\n", table.MarkGone(instance.Upstream))
			case "expire":
				return formatInstances(table.Expire(now))
			case "list":
				return formatInstances(table.All())
			default:
				return "unknown command\n"
			}
		})
	})
}

func argument(data *datadriven.TestData, name string) string {
	for _, arg := range data.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func integerArgument(data *datadriven.TestData, name string) int64 {
	value, _ := strconv.ParseInt(argument(data, name), 10, 64)
	return value
}

func formatInstances(instances []core.Instance) string {
	var out strings.Builder
	for _, instance := range instances {
		fmt.Fprintf(&out, "%s born=%d seq=%d %s", instance.Upstream, instance.Born, instance.Sequence, instance.Address)
		for _, flag := range []struct {
			name string
			set  bool
		}{{"leaving", instance.Leaving}, {"gone", instance.Gone}, {"silent", instance.Silent}} {
			if flag.set {
				out.WriteString(" " + flag.name)
			}
		}
		out.WriteByte('\n')
	}
	if out.Len() == 0 {
		return "none\n"
	}
	return out.String()
}
