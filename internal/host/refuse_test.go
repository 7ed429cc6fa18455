package host

import (
	"testing"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestRefusedCommand guards against a leader that commits a command which it must refuse, or that
// refuses others, whichever VM the command comes from.
func TestRefusedCommand(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.config.Refuse = func(command ledger.Command) string {
			if command.PutRoutes != nil && len(command.PutRoutes.Table.Workspaces) > 0 {
				return "no workspaces"
			}
			return ""
		}
		cluster.start(cluster.vms...)
		cluster.waitFor("a leader", func() bool { return cluster.leader(0) != "" })
		put := func(number core.ConfigNumber, workspaces ...core.Workspace) ledger.Result {
			result, err := cluster.client.Propose(cluster.t.Context(), 0, ledger.Command{PutRoutes: &ledger.PutRoutes{Table: core.RouteTable{Number: number, Workspaces: workspaces}}})
			cluster.is.NoErr(err)
			return result
		}
		cluster.is.True(put(1).PutRoutes.Changed)
		refused := put(2, core.Workspace{Workspace: "north"})
		cluster.is.Equal(refused.PutRoutes, nil)
		cluster.is.Equal(refused.Fault, "no workspaces")
		cluster.is.True(put(2).PutRoutes.Changed)
		cluster.replica(cluster.leader(0), 0).View(func(state *ledger.State) {
			routes, _ := state.Routes()
			cluster.is.Equal(len(routes.Workspaces), 0)
		})
	})
}
