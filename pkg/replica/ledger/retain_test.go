package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestRetainedChanges guards against a state that retains each change of the route table for ever,
// and against one that retains none for VMs that are a few changes behind.
func TestRetainedChanges(t *testing.T) {
	is := is.New(t)
	state := New(Limits{})
	put := func(number core.ConfigNumber, changed int) {
		table := core.RouteTable{Number: number}
		for i := range 400 {
			route := core.Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i)}
			if i < changed {
				route.MaxAttempts = int(number)
			}
			table.Routes = append(table.Routes, route)
		}
		state.Apply(uint64(number), Command{PutRoutes: &PutRoutes{Table: table}})
	}
	retained := func(since core.ConfigNumber) bool {
		change, ok := state.RouteChange(since)
		return ok && change.From <= since
	}
	for number := core.ConfigNumber(1); number <= 300; number++ {
		put(number, 1)
	}
	is.True(retained(299))
	is.True(retained(300 - maxRouteChanges))
	is.True(!retained(300 - maxRouteChanges - 1))
	is.True(!retained(300)) // nothing is later
	put(301, 150)
	is.True(retained(300))
	is.True(retained(260)) // 40 changes of one entry and one of 150
	put(302, 150)          // more than half of the table
	is.True(!retained(300))
	is.True(retained(301))
}
