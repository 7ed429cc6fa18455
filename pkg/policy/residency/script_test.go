package residency

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// script runs the commands of a test data file against a Table. Times are in milliseconds.
type script struct {
	table      *Table
	lastOrders map[core.UpstreamID]Order
}

// TestScripts guards against loads beyond the capacity of an engine, the unload of an
// adapter in use, orders sent while an earlier one may still be executed, and needless
// repeated loads.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		script := &script{table: NewTable(Timing{}, 1), lastOrders: make(map[core.UpstreamID]Order)}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return script.run(data)
		})
	})
}

func (script *script) run(data *datadriven.TestData) string {
	now := time.Duration(intArg(data, "at")) * time.Millisecond
	id := core.UpstreamID(textArg(data, "id"))
	switch data.Cmd {
	case "engine":
		script.table.SetEngine(now, core.Instance{
			Upstream: id, Born: intArg(data, "born"), Service: "s", Address: "a", Slots: 4,
			Software: core.SoftwareVersion(textArg(data, "software")), Leaving: data.HasArg("leaving"), Gone: data.HasArg("gone"),
		}, core.EngineSpec{
			Models: []core.BaseModel{{Model: "m", Size: 100, AdapterSize: 1, LoadTime: time.Second}},
			Memory: 110, Places: max(2, int(intArg(data, "places"))), LoadRate: core.LoadsPerSecond(intArg(data, "rate")) / 10,
		})
		return "ok\n"
	case "report":
		script.table.ApplyReport(now, id, script.lastOrders[id].Born, parseState(data))
		return "ok\n"
	case "place":
		return script.place(now, data)
	case "next":
		return script.next(now)
	case "done":
		owns := script.table.ApplyOutcome(now, script.lastOrders[id], parseOutcome(textArg(data, "outcome")))
		return fmt.Sprintf("owns=%t\n", owns)
	case "use":
		script.table.RecordUse(now, parseKey(textArg(data, "weights")), int(intArg(data, "count")))
		return "ok\n"
	case "running":
		script.table.SetRunning(id, map[core.WeightKey]int{parseKey(textArg(data, "weights")): int(intArg(data, "count"))})
		return "ok\n"
	case "revision":
		script.table.SetRevision(parseKey(textArg(data, "weights")), core.Revision(intArg(data, "revision")))
		return "ok\n"
	case "changes":
		return formatChanges(script.table.TakeChanges())
	case "whole":
		return formatChanges(script.table.Snapshot())
	default:
		return "unknown command\n"
	}
}

func (script *script) place(now time.Duration, data *datadriven.TestData) string {
	query := Query{Service: "s", Weights: parseKey(textArg(data, "weights")), Revision: core.Revision(intArg(data, "revision"))}
	if software := textArg(data, "software"); software != "" {
		query.Origin = origin.Requirement{Continues: true, Software: core.SoftwareVersion(software)}
	}
	if excluded := textArg(data, "exclude"); excluded != "" {
		query.Exclude = append(query.Exclude, core.UpstreamID(excluded))
	}
	id, status := script.table.Place(now, query)
	switch status {
	case Ready:
		return fmt.Sprintf("ready %s\n", id)
	case LoadPending:
		return "load pending\n"
	case QueueFull:
		return "full\n"
	default:
		return "no engine\n"
	}
}

func (script *script) next(now time.Duration) string {
	orders, nextCall := script.table.NextOrders(now)
	var out strings.Builder
	for _, order := range orders {
		script.lastOrders[order.Upstream] = order
		fmt.Fprintf(&out, "%s: %s %s", order.Upstream, order.Kind, order.Weights)
		if order.Revision > 0 {
			fmt.Fprintf(&out, "@%d", order.Revision)
		}
		fmt.Fprintf(&out, " expected=%d check=%t\n", order.Expected, order.Check)
	}
	if nextCall > 0 {
		fmt.Fprintf(&out, "next call at %d\n", nextCall.Milliseconds())
	}
	if out.Len() == 0 {
		return "no orders\n"
	}
	return out.String()
}

func textArg(data *datadriven.TestData, name string) string {
	for _, arg := range data.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func intArg(data *datadriven.TestData, name string) int64 {
	value, _ := strconv.ParseInt(textArg(data, name), 10, 64)
	return value
}

func parseKey(name string) core.WeightKey {
	model, adapter, _ := strings.Cut(name, "/")
	return core.WeightKey{Model: core.ModelID(model), Adapter: core.AdapterID(adapter)}
}

func parseOutcome(name string) Outcome {
	for outcome := Accepted; outcome <= Unanswered; outcome++ {
		if outcome.String() == name {
			return outcome
		}
	}
	return 0
}

// parseState parses the input lines of a report: weights, an optional "@" and revision, and
// an optional "loading".
func parseState(data *datadriven.TestData) State {
	state := State{Accepted: uint64(intArg(data, "accepted")), Busy: data.HasArg("busy")}
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		name, version, _ := strings.Cut(fields[0], "@")
		revision, _ := strconv.ParseUint(version, 10, 64)
		state.Holdings = append(state.Holdings, Holding{
			Weights: parseKey(name), Revision: core.Revision(revision), Loading: len(fields) > 1,
		})
	}
	return state
}

func formatChanges(changes []Change) string {
	var out strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&out, "%s", change.Upstream)
		if change.Whole {
			out.WriteString(" whole")
		}
		for _, added := range change.Added {
			fmt.Fprintf(&out, " +%s@%d", added.Weights, added.Revision)
		}
		for _, removed := range change.Removed {
			fmt.Fprintf(&out, " -%s", removed)
		}
		out.WriteByte('\n')
	}
	if out.Len() == 0 {
		return "none\n"
	}
	return out.String()
}
