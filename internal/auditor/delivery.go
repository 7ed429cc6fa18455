package auditor

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// sendQueue delivers the queue to a disk, one batch at a time and in order, so that a crash
// loses only the newest records. It returns when the auditor is closed and the queue is
// empty, or when the auditor was stopped.
func (auditor *Auditor) sendQueue() {
	for {
		batch, closed := auditor.nextBatch()
		if len(batch) == 0 && closed {
			return
		}
		if len(batch) == 0 {
			if !auditor.waitFor(auditor.wakeQueue, 0) {
				return
			}
			continue
		}
		firstCopyVM, ok := auditor.deliver(batch, auditor.currentTargets().disks, false)
		if ok {
			auditor.finishDelivery(batch, firstCopyVM)
			if !auditor.waitAfterBatch(len(batch)) {
				return
			}
			continue
		}
		auditor.bufferQueue()
		if !auditor.waitFor(auditor.wakeQueue, 0) {
			return
		}
	}
}

// waitAfterBatch pauses after a batch so that more records can be queued, unless the
// auditor is closing. It returns false if the auditor was stopped.
func (auditor *Auditor) waitAfterBatch(sent int) bool {
	auditor.mutex.Lock()
	closed := auditor.closed
	auditor.mutex.Unlock()
	switch {
	case closed:
		return true
	case auditor.options.Gather > 0:
		return auditor.waitFor(auditor.startWaiting, auditor.options.Gather)
	case sent >= batchPauseMin:
		return auditor.waitFor(nil, batchPause)
	default:
		return true
	}
}

// currentTargets returns the VMs that records can be sent to.
func (auditor *Auditor) currentTargets() targets {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	return auditor.targets
}

// waitFor waits for a token in channel, but no longer than limit if limit is not 0. It
// returns false if the auditor was stopped.
func (auditor *Auditor) waitFor(channel chan struct{}, limit time.Duration) bool {
	var elapsed <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-channel:
	case <-elapsed:
	case <-auditor.ctx.Done():
		return false
	}
	return true
}

// nextBatch returns the oldest records of the queue, encoded, up to the limits of a batch,
// and whether the auditor is closed.
func (auditor *Auditor) nextBatch() ([]*pendingRecord, bool) {
	auditor.mutex.Lock()
	count := min(len(auditor.queue), batchRecords)
	batch := slices.Clone(auditor.queue[:count])
	closed := auditor.closed
	auditor.mutex.Unlock()
	return auditor.encodeBatch(batch), closed
}

// encodeBatch encodes the records that have no payload yet, and limits the batch to
// batchBytes or one record.
func (auditor *Auditor) encodeBatch(batch []*pendingRecord) []*pendingRecord {
	size := 0
	for i, item := range batch {
		if item.payload == nil {
			item.payload = encode(item.record)
		}
		size += len(item.payload)
		if size > batchBytes && i > 0 {
			return batch[:i]
		}
	}
	return batch
}

func encode(record audit.Record) audit.Payload {
	payload, err := audit.Encode(record)
	if err != nil {
		panic(err) // cannot happen: every field of the type can be encoded
	}
	return payload
}

// deliver sends a batch to the first member that is not marked as failed. If that fails, or has
// not answered after slowDelivery, it sends the batch to the next one as well, and so on. It returns
// a VM that has the batch on its disk, or false if there is none.
func (auditor *Auditor) deliver(batch []*pendingRecord, members []Member, secondCopy bool) (core.VMID, bool) {
	members = auditor.available(members)
	answers := make(chan core.VMID, len(members))
	timer := time.NewTimer(slowDelivery)
	defer timer.Stop()
	for waiting := 0; waiting > 0 || len(members) > 0; {
		if len(members) > 0 {
			member := members[0]
			members = members[1:]
			waiting++
			auditor.running.Go(func() {
				vm := member.VM
				if !auditor.sendTo(member, batch, secondCopy) {
					vm = ""
				}
				answers <- vm
			})
		}
		slow := timer.C
		if len(members) == 0 {
			slow = nil
		}
		timer.Reset(slowDelivery)
		select {
		case vm := <-answers:
			if vm != "" {
				return vm, true
			}
			waiting--
		case <-slow:
		}
	}
	return "", false
}

func (auditor *Auditor) sendTo(member Member, batch []*pendingRecord, secondCopy bool) bool {
	ctx, cancel := context.WithTimeout(auditor.ctx, callTimeout)
	defer cancel()
	err := auditor.storeOn(ctx, member, batch, secondCopy)
	if err != nil && auditor.ctx.Err() == nil {
		auditor.markFailed(member.VM, err)
	}
	return err == nil
}

// storeOn writes a batch to the disk of a member. It returns nil if the batch is synced.
func (auditor *Auditor) storeOn(ctx context.Context, member Member, batch []*pendingRecord, secondCopy bool) error {
	if member.VM == auditor.options.Self.VM {
		return auditor.appendLocal(batch)
	}
	_, err := auditor.storeDurably(ctx, member.VM, batchRequest(batch, secondCopy))
	return err
}

// storeDurably sends a batch to another VM. It returns an error unless that VM has synced it.
func (auditor *Auditor) storeDurably(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.AuditResult, error) {
	result, err := auditor.callBatch(ctx, vm, request)
	if err == nil && !result.GetDurable() {
		err = errors.New("the VM has no disk")
	}
	return result, err
}

func (auditor *Auditor) appendLocal(batch []*pendingRecord) error {
	if auditor.options.Store == nil {
		return errors.New("this VM has no disk")
	}
	payloads := make([]audit.Payload, 0, len(batch))
	for _, item := range batch {
		payloads = append(payloads, item.payload)
	}
	return auditor.options.Store.Append(auditor.ctx, payloads...)
}

// sendBatch sends a batch to another VM like callBatch, and waits for at most callTimeout.
func (auditor *Auditor) sendBatch(vm core.VMID, batch []*pendingRecord, secondCopy bool) (bool, error) {
	ctx, cancel := context.WithTimeout(auditor.ctx, callTimeout)
	defer cancel()
	result, err := auditor.callBatch(ctx, vm, batchRequest(batch, secondCopy))
	return result.GetDurable(), err
}

// callBatch sends a batch to another VM and returns its answer, which states whether that VM has
// synced the batch on its disk. It returns an error if the VM did not respond before the context
// ended or did not accept the batch.
func (auditor *Auditor) callBatch(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.AuditResult, error) {
	response, err := auditor.options.Caller.Call(ctx, vm, request)
	if err != nil {
		return nil, errors.Wrap(err, "send audit records")
	}
	result := response.GetAuditResult()
	if result == nil {
		return nil, errors.New("the response contains no audit result")
	}
	if result.GetReason() != "" {
		return nil, errors.New(result.GetReason())
	}
	return result, nil
}

// finishDelivery removes a batch from the queue, queues it for its second copy, and lets
// the waiting callers return.
func (auditor *Auditor) finishDelivery(batch []*pendingRecord, firstCopyVM core.VMID) {
	recordsTotal.Add(len(batch))
	auditor.mutex.Lock()
	auditor.queue = auditor.queue[len(batch):]
	auditor.bufferedCount = max(0, auditor.bufferedCount-len(batch))
	for _, item := range batch {
		item.firstCopyVM = firstCopyVM
	}
	auditor.addCopies(batch)
	queueLength.Set(float64(len(auditor.queue)))
	auditor.mutex.Unlock()
	wake(auditor.wakeCopy)
	notifyAccepted(batch)
}

// notifyAccepted lets the callers that wait for records of the batch return.
func notifyAccepted(batch []*pendingRecord) {
	for _, item := range batch {
		if item.accepted != nil {
			close(item.accepted)
			item.accepted = nil
		}
	}
}

// bufferQueue marks the records of the queue that are not buffered yet, and copies them to
// another VM of the zone, if there is one. They stay in the queue until a disk can be
// reached.
func (auditor *Auditor) bufferQueue() {
	for {
		batch := auditor.nextUnbuffered()
		if len(batch) == 0 {
			return
		}
		if !auditor.bufferBatch(batch) {
			return
		}
	}
}

func (auditor *Auditor) nextUnbuffered() []*pendingRecord {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	for auditor.bufferedCount < len(auditor.queue) && auditor.queue[auditor.bufferedCount].buffered {
		auditor.bufferedCount++
	}
	var batch []*pendingRecord
	for _, item := range auditor.queue[auditor.bufferedCount:] {
		if !item.buffered && len(batch) < batchRecords {
			batch = append(batch, item)
		}
	}
	return batch
}

// bufferBatch marks a batch as buffered and copies it to another VM of the zone, or keeps it
// on this VM alone if no other VM accepts it. It returns false if the auditor was stopped.
func (auditor *Auditor) bufferBatch(batch []*pendingRecord) bool {
	for _, item := range batch {
		item.record.Buffered = true
		item.payload = encode(item.record)
	}
	batch = auditor.encodeBatch(batch)
	for _, member := range auditor.available(auditor.currentTargets().bufferPeers) {
		_, err := auditor.sendBatch(member.VM, batch, false)
		if err == nil {
			break
		}
		auditor.markFailed(member.VM, err)
	}
	if auditor.ctx.Err() != nil {
		return false
	}
	bufferedTotal.Add(len(batch))
	auditor.mutex.Lock()
	for _, item := range batch {
		item.buffered = true
	}
	auditor.mutex.Unlock()
	notifyAccepted(batch)
	return true
}
