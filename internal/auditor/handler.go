package auditor

import (
	"context"

	"github.com/dandelionring/dandelionring/internal/wire"
)

// Receive handles a batch of records from another VM. A VM with a disk writes the batch and
// returns a result with Durable set after the sync. A VM without a disk buffers a first
// copy until it can reach a disk, and returns an empty result. If the batch is not
// accepted, the result contains the reason.
func (auditor *Auditor) Receive(ctx context.Context, batch *wire.Audit) *wire.AuditResult {
	payloads, err := payloadsOf(batch)
	if err != nil {
		return resultMessage(false, err.Error())
	}
	if auditor.options.Store == nil {
		return auditor.receiveInMemory(batch)
	}
	if err := auditor.options.Store.Append(ctx, payloads...); err != nil {
		return resultMessage(false, err.Error())
	}
	return resultMessage(true, "")
}

func (auditor *Auditor) receiveInMemory(batch *wire.Audit) *wire.AuditResult {
	if batch.GetSecondCopy() {
		return resultMessage(false, "this VM has no disk")
	}
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	if auditor.closed {
		return resultMessage(false, ErrClosed.Error())
	}
	if len(auditor.queue)+auditor.openStarts+len(batch.GetEntries()) > auditor.options.Queue {
		return resultMessage(false, ErrFull.Error())
	}
	for _, entry := range batch.GetEntries() {
		auditor.queue = append(auditor.queue, pendingRecordOf(entry))
	}
	wake(auditor.wakeQueue)
	return resultMessage(false, "")
}
