package origin

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against a stream that goes on at another software version than the one
// that began it, against an origin that an earlier send of its request replaces, against a
// table that grows without a bound, against a version that is taken for the only one although
// another one served a moment ago, and against events that a caller gets twice.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table, history, group := &Table{}, &History{}, &Group{}
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "allows":
				return runRule(data)
			case "position":
				return runPosition(data)
			case "set", "view", "join":
				return runGroup(group, data)
			case "note", "sole", "start", "agreed", "recent":
				return runHistory(history, data)
			default:
				return runTable(table, data)
			}
		})
	})
}

// runTable applies a command to a Table. Times are in milliseconds.
func runTable(table *Table, data *datadriven.TestData) string {
	now := time.Duration(intArg(data, "at")) * time.Millisecond
	request := core.RequestID(textArg(data, "request"))
	switch data.Cmd {
	case "add":
		table.Add(now, request, Origin{
			Service: core.ServiceID(textArg(data, "service")), Software: core.SoftwareVersion(textArg(data, "software")), Send: intArg(data, "send"),
		})
	case "fill":
		for i := range intArg(data, "count") {
			table.Add(now, core.RequestID(fmt.Sprint("fill-", i)), Origin{Service: "s", Software: "v1", Send: 1})
		}
	case "recent":
		recent, ok := table.Recent(now, intArg(data, "limit"))
		return fmt.Sprintln(recent, ok)
	case "len":
		return fmt.Sprintln(table.Len())
	case "find":
		found, ok := table.Find(now, request)
		if !ok {
			return "unknown\n"
		}
		return fmt.Sprintf("%s %s send=%d\n", found.Service, found.Software, found.Send)
	}
	return "ok\n"
}

// runRule applies a Requirement to a software version.
func runRule(data *datadriven.TestData) string {
	requirement := Requirement{Continues: data.HasArg("continues"), Software: core.SoftwareVersion(textArg(data, "continues"))}
	result := fmt.Sprint(requirement.Allows(core.SoftwareVersion(textArg(data, "software"))))
	if !requirement.Possible() {
		result += " (impossible)"
	}
	return result + "\n"
}

// runPosition passes events with the IDs in the input, of which "-" is none, to a caller who has
// the event with the ID of the argument after.
func runPosition(data *datadriven.TestData) string {
	position := PositionAfter(textArg(data, "after"))
	var out strings.Builder
	for id := range strings.FieldsSeq(data.Input) {
		if id == "-" {
			id = ""
		}
		fmt.Fprintf(&out, "%q precedes=%t", id, position.Precedes([]byte(id)))
		position.Pass([]byte(id))
		fmt.Fprintf(&out, " after=%q\n", position.ID())
	}
	return out.String()
}

// runHistory applies a command to a History. Times are in milliseconds.
func runHistory(history *History, data *datadriven.TestData) string {
	now := time.Duration(intArg(data, "at")) * time.Millisecond
	service := core.ServiceID(textArg(data, "service"))
	switch data.Cmd {
	case "note":
		history.Note(now, service, core.SoftwareVersion(textArg(data, "software")))
	case "start":
		history.Start(now)
	case "recent":
		for _, heard := range history.Recent(now) {
			return fmt.Sprintln(heard.Service, heard.Software, heard.Age)
		}
		return "none\n"
	case "sole":
		return fmt.Sprintf("%q\n", history.Sole(now, service))
	case "agreed":
		var stated []core.SoftwareVersion
		for _, arg := range data.CmdArgs {
			for _, value := range arg.Vals {
				if arg.Key == "stated" {
					stated = append(stated, core.SoftwareVersion(value))
				}
			}
		}
		return fmt.Sprintf("%q\n", Agreed(stated, intArg(data, "asked")))
	}
	return "ok\n"
}

// runGroup applies a command to a Group. Times are in milliseconds.
func runGroup(group *Group, data *datadriven.TestData) string {
	now := time.Duration(intArg(data, "at")) * time.Millisecond
	switch data.Cmd {
	case "set":
		group.Set(now, uint64(intArg(data, "number")), vmArgs(data, "vms"), vmArgs(data, "replaced"))
	case "join":
		other := View{Number: uint64(intArg(data, "number")), VMs: vmArgs(data, "vms")}
		return fmt.Sprintln(group.View(now).Join(other))
	}
	return fmt.Sprintln(group.View(now))
}

func vmArgs(data *datadriven.TestData, name string) []core.VMID {
	var vms []core.VMID
	for _, arg := range data.CmdArgs {
		if arg.Key == name {
			for _, value := range arg.Vals {
				vms = append(vms, core.VMID(value))
			}
		}
	}
	return vms
}

// textArg returns the first value of an argument, or "" if it is missing or has none.
func textArg(data *datadriven.TestData, name string) string {
	for _, arg := range data.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func intArg(data *datadriven.TestData, name string) int {
	number, _ := strconv.Atoi(textArg(data, name))
	return number
}
