package routediff

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// history is a series of tables and the changes between them.
type history struct {
	tables  []Table
	changes []Change
}

// put adds a table. It returns an error if a change from any table before does not lead to it.
func (history *history) put(routes core.RouteTable) (Change, error) {
	if len(history.tables) == 0 {
		history.tables = []Table{{}}
	}
	next, change := history.tables[len(history.tables)-1].Replace(routes)
	history.tables, history.changes = append(history.tables, next), append(history.changes, change)
	if whole := NewTable(routes); whole.Digest() != next.Digest() {
		return change, fmt.Errorf("the digest of table %d followed from changes differs", routes.Number)
	}
	for first := range history.changes {
		joined := Join(history.changes[first:])
		encoded, err := json.Marshal(joined)
		if err != nil {
			return change, err
		}
		var decoded Change
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			return change, err
		}
		for _, held := range history.tables[first : len(history.tables)-1] {
			reached, err := held.Apply(decoded)
			if err != nil {
				return change, err
			}
			if got, want := NewTable(reached.Routes()).Digest(), next.Digest(); got != want || reached.Number() != routes.Number {
				return change, fmt.Errorf("table %d with the change from %d on is another one", held.Number(), joined.From)
			}
		}
	}
	return change, nil
}

// TestChanges guards against a change that leads to another table than the one that it was
// computed for, and against one that lists entries that stay.
func TestChanges(t *testing.T) {
	var history history
	datadriven.RunTest(t, "testdata/changes", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "misfits" {
			return misfits(&history)
		}
		var number int
		data.ScanArgs(t, "number", &number)
		routes := parseTable(t, data.Input)
		routes.Number = core.ConfigNumber(number)
		change, err := history.put(routes)
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d to %d: %d entries; follows: true\n", change.From, change.To, change.Entries())
	})
}

func misfits(history *history) string {
	var out strings.Builder
	second, last := history.changes[1], history.changes[len(history.changes)-1]
	before := history.tables[len(history.tables)-2].Routes()
	before.Routes = []core.Route{{Host: "other.example", Prefix: "/"}} // no change mentions it
	for _, attempt := range []struct {
		held   Table
		change Change
	}{{history.tables[2], second}, {history.tables[len(history.tables)-1], second}, {Table{}, second}, {NewTable(before), last}} {
		_, err := attempt.held.Apply(attempt.change)
		fmt.Fprintln(&out, err)
	}
	return out.String()
}

// parseTable parses lines of entries.
func parseTable(t *testing.T, input string) core.RouteTable {
	var table core.RouteTable
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "service":
			table.Services = append(table.Services, core.ServiceSpec{Service: core.ServiceID(fields[1])})
		case "limits":
			if _, err := fmt.Sscan(fields[1], &table.Limits.BodyBytes); err != nil {
				t.Fatal(err)
			}
		case "workspace":
			workspace := core.Workspace{Workspace: core.WorkspaceID(fields[1])}
			if len(fields) > 2 {
				workspace.Rank = new(int)
			}
			table.Workspaces = append(table.Workspaces, workspace)
		case "route":
			route := core.Route{Host: fields[1], Prefix: fields[2]}
			for _, field := range fields[3:] {
				service, weight, _ := strings.Cut(field, "=")
				target := core.RouteTarget{Service: core.ServiceID(service)}
				if _, err := fmt.Sscan(weight, &target.Weight); err != nil {
					t.Fatal(err)
				}
				route.Targets = append(route.Targets, target)
			}
			table.Routes = append(table.Routes, route)
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return table
}

// TestDrawnChanges guards against successive changes that lead astray once they are joined: an
// entry that was added and removed, or changed and restored, in between.
func TestDrawnChanges(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var history history
		for number := core.ConfigNumber(1); number < 12; number += core.ConfigNumber(1 + random.IntN(3)) {
			if _, err := history.put(drawTable(random, number)); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
}

// drawTable returns a table with some of a few routes, services and workspaces in any order.
func drawTable(random *rand.Rand, number core.ConfigNumber) core.RouteTable {
	table := core.RouteTable{Number: number}
	for _, at := range random.Perm(6)[:random.IntN(7)] {
		table.Routes = append(table.Routes, core.Route{Host: "h", Prefix: fmt.Sprintf("/%d/", at), MaxAttempts: random.IntN(2)})
	}
	for _, at := range random.Perm(3)[:random.IntN(4)] {
		table.Services = append(table.Services, core.ServiceSpec{Service: core.ServiceID(fmt.Sprint(at)), MaxConns: random.IntN(2)})
		table.Workspaces = append(table.Workspaces, core.Workspace{Workspace: core.WorkspaceID(fmt.Sprint(at)), Quota: core.Quota{Burst: core.Tokens(random.IntN(2))}})
	}
	table.Limits.BodyBytes = core.Bytes(random.IntN(2))
	return table
}
