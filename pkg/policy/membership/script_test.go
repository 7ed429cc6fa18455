package membership

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against an upstream that comes back by a late announcement, keeps an
// address that another one has taken, or stays in use after it has said that it leaves.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := NewTable(Timing{Silence: 4 * time.Second, Removal: 30 * time.Second})
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			instance := core.Instance{
				Upstream: core.UpstreamID(text(data, "id")), Born: number(data, "born"), Sequence: uint64(number(data, "seq")),
				Service: "s", Address: text(data, "address"), Zone: "z", Slots: 1,
				Leaving: data.HasArg("leaving"), Gone: data.HasArg("gone"), Silent: data.HasArg("silent"),
			}
			now := time.Duration(number(data, "at")) * time.Second
			switch data.Cmd {
			case "announce":
				return fmt.Sprintf("changed=%t\n", table.Announce(now, instance))
			case "judge":
				return fmt.Sprintf("changed=%t\n", table.Judge(instance))
			case "leave":
				return fmt.Sprintf("changed=%t\n", table.Leave(instance.Upstream))
			case "expire":
				return show(table.Expire(now))
			case "list":
				return show(table.All())
			default:
				return "unknown command\n"
			}
		})
	})
}

func text(data *datadriven.TestData, name string) string {
	for _, arg := range data.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func number(data *datadriven.TestData, name string) int64 {
	value, _ := strconv.ParseInt(text(data, name), 10, 64)
	return value
}

func show(instances []core.Instance) string {
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
