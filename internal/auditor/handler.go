package auditor

import (
	"context"

	"github.com/dandelionring/dandelionring/internal/wire"
)

// Receive takes a batch of another VM. A VM with a disk answers after the sync with
// Durable set. A VM without one buffers a first copy until it can reach a disk. Any
// other answer holds the reason why the batch was not taken.
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
	if len(auditor.queue)+auditor.open+len(batch.GetEntries()) > auditor.options.Queue {
		return resultMessage(false, ErrFull.Error())
	}
	for _, entry := range batch.GetEntries() {
		auditor.queue = append(auditor.queue, itemOf(entry))
	}
	wake(auditor.wakeShip)
	return resultMessage(false, "")
}
