package residency

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// script runs the commands of a data file against a table. Times are in milliseconds.
type script struct {
	table  *Table
	orders map[core.UpstreamID]Order
}

// TestScripts guards against an engine that is ordered to hold more than it can, against
// an adapter that is unloaded while it is in use, against orders beside one that may still
// be carried out, and against loads that are repeated without need.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		script := &script{table: NewTable(Timing{}, 1), orders: make(map[core.UpstreamID]Order)}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return script.run(data)
		})
	})
}

func (script *script) run(data *datadriven.TestData) string {
	now := time.Duration(number(data, "at")) * time.Millisecond
	id := core.UpstreamID(text(data, "id"))
	switch data.Cmd {
	case "engine":
		script.table.SetEngine(now, core.Instance{
			Upstream: id, Born: number(data, "born"), Service: "s", Address: "a", Slots: 4,
			Leaving: data.HasArg("leaving"), Gone: data.HasArg("gone"),
		}, core.EngineSpec{
			Models: []core.BaseModel{{Model: "m", Size: 100, AdapterSize: 1, LoadTime: time.Second}},
			Memory: 110, Places: max(2, int(number(data, "places"))), LoadRate: core.LoadsPerSecond(number(data, "rate")) / 10,
		})
		return "ok\n"
	case "report":
		script.table.Sync(now, id, script.orders[id].Born, parseState(data))
		return "ok\n"
	case "place":
		return script.place(now, data)
	case "next":
		return script.next(now)
	case "done":
		owns := script.table.Done(now, script.orders[id], parseOutcome(text(data, "outcome")))
		return fmt.Sprintf("owns=%t\n", owns)
	case "use":
		script.table.Use(now, parseKey(text(data, "weights")), int(number(data, "count")))
		return "ok\n"
	case "running":
		script.table.SetRunning(id, map[core.WeightKey]int{parseKey(text(data, "weights")): int(number(data, "count"))})
		return "ok\n"
	case "revision":
		script.table.SetRevision(parseKey(text(data, "weights")), core.Revision(number(data, "revision")))
		return "ok\n"
	case "changes":
		return show(script.table.Changes())
	case "whole":
		return show(script.table.Whole())
	default:
		return "unknown command\n"
	}
}

func (script *script) place(now time.Duration, data *datadriven.TestData) string {
	query := Query{Service: "s", Weights: parseKey(text(data, "weights")), Revision: core.Revision(number(data, "revision"))}
	if excluded := text(data, "exclude"); excluded != "" {
		query.Exclude = append(query.Exclude, core.UpstreamID(excluded))
	}
	id, placement := script.table.Place(now, query)
	switch placement {
	case Ready:
		return fmt.Sprintf("ready %s\n", id)
	case Coming:
		return "coming\n"
	case Full:
		return "full\n"
	default:
		return "nowhere\n"
	}
}

func (script *script) next(now time.Duration) string {
	orders, wake := script.table.Next(now)
	var out strings.Builder
	for _, order := range orders {
		script.orders[order.Upstream] = order
		fmt.Fprintf(&out, "%s: %s %s", order.Upstream, order.Kind, order.Weights)
		if order.Revision > 0 {
			fmt.Fprintf(&out, "@%d", order.Revision)
		}
		fmt.Fprintf(&out, " expected=%d check=%t\n", order.Expected, order.Check)
	}
	if wake > 0 {
		fmt.Fprintf(&out, "again at %d\n", wake.Milliseconds())
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
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

func parseKey(text string) core.WeightKey {
	model, adapter, _ := strings.Cut(text, "/")
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

// parseState reads weights with an optional revision, one a line, and "loading" behind
// those on their way.
func parseState(data *datadriven.TestData) State {
	state := State{Accepted: uint64(number(data, "accepted")), Busy: data.HasArg("busy")}
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

func show(changes []Change) string {
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
