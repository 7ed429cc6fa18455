package host

import (
	"testing"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestAssignInAnotherTerm guards against an owner that was chosen in another term: the
// previous owner may have renewed its lease with another leader since.
func TestAssignInAnotherTerm(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.start(cluster.vms...)
		cluster.waitFor("a leader", func() bool { return cluster.leader(0) != "" })
		replica := cluster.replica(cluster.leader(0), 0)
		term, _ := replica.IsLeader()
		assign := ledger.Assign{Group: core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "llama"}, VM: "vm-0"}
		_, err := replica.AssignIn(cluster.t.Context(), term-1, assign)
		cluster.is.True(errors.Is(err, ErrNotLeader))
		_, err = replica.AssignIn(cluster.t.Context(), term+1, assign)
		cluster.is.True(errors.Is(err, ErrNotLeader))
		result, err := replica.AssignIn(cluster.t.Context(), term, assign)
		cluster.is.NoErr(err)
		cluster.is.True(result.Changed)
	})
}
