package auditor

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// ErrNoMajority is returned by StartOnMajority if too few VMs have the record in time.
var ErrNoMajority = errors.New("no majority of the VMs with a disk has stored the audit record")

// StartOnMajority numbers and queues a start record like Start, sends it to all VMs with a disk at
// once, and returns after a majority of them has synced it: of the group of the control VMs that the
// latest answer states, or of all VMs with a disk if they are no such group. It does not wait for the batches before
// it, which one VM that stands still can delay. If it returns an error, the run must not begin. The
// error is ErrNoMajority if that takes longer than limit or the context ends, and else that of
// StartWithin. After ErrNoMajority some VMs may have the record, and an end record with the outcome
// not_run is queued.
func (auditor *Auditor) StartOnMajority(ctx context.Context, record audit.Record, limit time.Duration) error {
	numbered, err := auditor.enqueueStart(record, nil)
	if err != nil {
		return err
	}
	// The records of earlier sends of the request, which may state its origin, go without delay.
	wake(auditor.startWaiting)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	members := auditor.currentTargets().disks
	results := make(chan stored, len(members))
	batch := []*pendingRecord{{record: numbered, payload: encode(numbered)}}
	for _, member := range members {
		go func() { results <- auditor.storeUntil(ctx, member, batch) }()
	}
	var view origin.View
	var holders []core.VMID
	for range members {
		select {
		case result := <-results:
			if result.err == nil {
				view = view.Join(result.view)
				holders = append(holders, result.vm)
			}
		case <-ctx.Done():
		}
		if view.HasMajority(holders, len(members)) {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	lateStartsTotal.Inc()
	auditor.endNotRun(record)
	return ErrNoMajority
}

// majorityRetry is the time between two attempts to store a record on a VM. The VMs of a majority
// may all be restarting, which takes about a second.
const majorityRetry = 100 * time.Millisecond

// stored is the result of storing a batch on a VM, and the group of control VMs that it states.
type stored struct {
	vm   core.VMID
	view origin.View
	err  error
}

// storeUntil stores a batch on the disk of a member, and tries again after failures until the
// context ends.
func (auditor *Auditor) storeUntil(ctx context.Context, member Member, batch []*pendingRecord) stored {
	for {
		view, err := auditor.storeInGroup(ctx, member, batch)
		if err == nil || !sleep(ctx, majorityRetry) {
			return stored{member.VM, view, err}
		}
	}
}

// storeInGroup stores a batch on the disk of a member and returns the group that the member states.
// It returns an error if the member is a control VM that knows no leader: the group may have changed
// without it.
func (auditor *Auditor) storeInGroup(ctx context.Context, member Member, batch []*pendingRecord) (origin.View, error) {
	if member.VM == auditor.options.Self.VM {
		return origin.View{}, auditor.appendLocal(batch)
	}
	request := batchRequest(batch, true)
	request.GetAudit().Majority = true
	result, err := auditor.storeDurably(ctx, member.VM, request)
	if err != nil {
		return origin.View{}, err
	}
	if result.GetGroup() != nil && result.GetGroup().GetNumber() == 0 {
		return origin.View{}, errors.New("the control VM knows no leader")
	}
	return peer.ControlGroupFromMessage(result.GetGroup()), nil
}
