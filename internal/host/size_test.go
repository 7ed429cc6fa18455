package host

import (
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestLargeCommand guards against a command over the size of a message between VMs that enters the
// log of the leader: it reaches no follower, and no later command is committed.
func TestLargeCommand(t *testing.T) {
	runCluster(t, 3, func(cluster *cluster) {
		cluster.start(cluster.vms...)
		cluster.waitFor("a leader", func() bool { return cluster.leader(0) != "" })
		document := make([]byte, maxFrameBytes)
		random := rand.NewChaCha8([32]byte{})
		_, _ = random.Read(document)
		put := func(number core.ConfigNumber, document []byte) (ledger.Result, error) {
			return cluster.client.Propose(cluster.t.Context(), 0, ledger.Command{PutRoutes: &ledger.PutRoutes{Table: core.RouteTable{Number: number}, Document: document}})
		}
		replica := cluster.replica(cluster.leader(0), 0)
		_, err := replica.Propose(cluster.t.Context(), ledger.Command{PutRoutes: &ledger.PutRoutes{Table: core.RouteTable{Number: 1}, Document: document}})
		cluster.is.True(errors.Is(err, ErrTooLarge) && errors.Is(err, ErrNotCommitted))
		_, err = put(1, document)
		cluster.is.True(errors.Is(err, ErrTooLarge))
		result, err := put(2, document[:1<<20])
		cluster.is.NoErr(err)
		cluster.is.True(result.PutRoutes.Changed)
	})
}
