package origin

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against a stream that goes on at another software version than the one
// that began it, against an origin that an earlier send of its request replaces, and against a
// table that grows without a bound.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := &Table{}
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "allows" {
				return runRule(data)
			}
			return runTable(table, data)
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
