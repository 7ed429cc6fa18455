package auditor

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// ErrNoMajority is returned by StartOnMajority if too few VMs have the record in time.
var ErrNoMajority = errors.New("no majority of the VMs with a disk has stored the audit record")

// StartOnMajority numbers and queues a start record like Start, sends it to all VMs with a disk at
// once, and returns after a majority of them has synced it. It does not wait for the batches before
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
	results := make(chan error, len(members))
	batch := []*pendingRecord{{record: numbered, payload: encode(numbered)}}
	for _, member := range members {
		go func() { results <- auditor.storeUntil(ctx, member, batch) }()
	}
	missing := core.Majority(len(members))
	for range members {
		select {
		case err := <-results:
			if err == nil {
				missing--
			}
		case <-ctx.Done():
		}
		if missing == 0 {
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

// storeUntil stores a batch on the disk of a member, and tries again after failures until the
// context ends.
func (auditor *Auditor) storeUntil(ctx context.Context, member Member, batch []*pendingRecord) error {
	for {
		err := auditor.storeOn(ctx, member, batch, true)
		if err == nil || !sleep(ctx, majorityRetry) {
			return err
		}
	}
}
