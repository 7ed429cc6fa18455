package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestPushedChanges guards against a change that comes from each control VM although it is large,
// and against one that a VM gets which has not stated that it can apply it.
func TestPushedChanges(t *testing.T) {
	is := is.New(t)
	control, stop := startControl(t, t.TempDir())
	defer stop()
	awaitLeader(t, control)
	replica, _ := control.options.Host.Replica(0)
	able := &subscriber{routeChanges: true, features: []core.Feature{core.WorkspaceFeature}}
	unable := &subscriber{routeChanges: true}
	old := &subscriber{}
	put := func(table core.RouteTable) (pushed []bool) {
		_, faults, err := control.PutRoutes(t.Context(), ledger.PutRoutes{Table: table})
		is.NoErr(err)
		is.Equal(len(faults), 0)
		for _, subscriber := range []*subscriber{able, unable, old} {
			event := &wire.WatchEvent{}
			control.addRoutes(event, subscriber, replica)
			is.Equal(event.GetRoutesNumber(), uint64(table.Number))
			pushed = append(pushed, event.GetRouteChange() != nil)
		}
		return pushed
	}
	is.Equal(put(makeRoutes(1, 1200, 0)), []bool{false, false, false}) // nothing was sent before
	is.Equal(put(makeRoutes(2, 1200, 1)), []bool{true, true, false})
	large := makeRoutes(3, 1200, 1)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 250 { // 500 entries, which are retained
		large.Routes[i].Prefix = fmt.Sprintf("/%x/%x/%x/%x/%d/", random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64(), i)
		large.Routes[i].Name = core.RouteName(fmt.Sprintf("%x%x%x%x", random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64()))
		large.Routes[i].Host = fmt.Sprintf("%x%x%x%x.example", random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64())
	}
	is.Equal(put(large), []bool{false, false, false})
	large.Number = 4
	large.Workspaces = []core.Workspace{{Workspace: "north"}}
	is.Equal(put(large), []bool{true, false, false})
}

// TestRefusedForms guards against a route table that is not committed because the leader refuses
// the forms that older builds do not know.
func TestRefusedForms(t *testing.T) {
	is := is.New(t)
	var refused int
	control, stop := startControlWith(t, host.Config{Directory: t.TempDir(), Refuse: func(command ledger.Command) string {
		if command.ChangeRoutes != nil || command.PutRoutes != nil && command.PutRoutes.Compressed {
			refused++
			return "an older build is known"
		}
		return ""
	}})
	defer stop()
	awaitLeader(t, control)
	for number := core.ConfigNumber(1); number <= 2; number++ {
		result, _, err := control.PutRoutes(t.Context(), ledger.PutRoutes{Table: makeRoutes(number, 10, 1)})
		is.NoErr(err)
		is.Equal(result, ledger.PutRoutesResult{Changed: true, Number: number})
	}
	is.Equal(refused, 3) // the first table has no change
}
