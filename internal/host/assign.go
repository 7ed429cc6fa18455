package host

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// AssignIn gives a group to a VM if this replica leads its shard in the given term,
// and returns ErrNotLeader otherwise. A decision about leases only holds in the term
// in which it was made: in a later term the previous owner may have renewed its lease
// with another leader.
func (replica *Replica) AssignIn(ctx context.Context, term raft.Term, assign ledger.Assign) (ledger.AssignResult, error) {
	data, err := ledger.EncodeCommand(ledger.Command{At: ledger.UnixMillis(time.Now()), Assign: &assign})
	if err != nil {
		return ledger.AssignResult{}, errors.Join(ErrNotCommitted, err)
	}
	result, err := replica.commit(ctx, data, term)
	return unwrap(result.Assign, result, err, "assign group")
}
