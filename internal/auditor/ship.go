package auditor

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// ship takes the queue to a disk, one batch at a time and in order, so that a crash
// loses only the newest records.
func (auditor *Auditor) ship() {
	for {
		batch, closed := auditor.batch()
		if len(batch) == 0 && closed {
			return
		}
		if len(batch) == 0 {
			if !auditor.await(auditor.wakeShip, 0) {
				return
			}
			continue
		}
		holder, ok := auditor.deliver(batch, auditor.places().disks, false)
		if ok {
			auditor.delivered(batch, holder)
			if !auditor.pace(len(batch)) {
				return
			}
			continue
		}
		auditor.buffer()
		if !auditor.await(auditor.wakeShip, 0) {
			return
		}
	}
}

// pace waits for more records after a batch. It returns false if the auditor was stopped.
func (auditor *Auditor) pace(sent int) bool {
	auditor.mutex.Lock()
	closed := auditor.closed
	auditor.mutex.Unlock()
	switch {
	case closed:
		return true
	case auditor.options.Gather > 0:
		return auditor.await(auditor.urgent, auditor.options.Gather)
	case sent >= gatherFrom:
		return auditor.await(nil, gatherDelay)
	default:
		return true
	}
}

// places returns the VMs that records may go to now.
func (auditor *Auditor) places() targets {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	return auditor.targets
}

// await waits for a token, or for a time if it is not zero. It returns false if the
// auditor was stopped.
func (auditor *Auditor) await(channel chan struct{}, limit time.Duration) bool {
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

// batch returns the oldest records of the queue, encoded.
func (auditor *Auditor) batch() ([]*item, bool) {
	auditor.mutex.Lock()
	count := min(len(auditor.queue), batchRecords)
	batch := slices.Clone(auditor.queue[:count])
	closed := auditor.closed
	auditor.mutex.Unlock()
	return auditor.encode(batch), closed
}

// encode encodes what is not encoded yet and cuts the batch at batchBytes.
func (auditor *Auditor) encode(batch []*item) []*item {
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
		panic(err) // the type holds nothing that cannot be encoded
	}
	return payload
}

// deliver offers a batch to the first member that has not failed, and if that fails
// to all others at the same time, so that several silent VMs cost one timeout. It
// returns a VM that has the batch on its disk.
func (auditor *Auditor) deliver(batch []*item, members []Member, second bool) (core.VMID, bool) {
	members = auditor.usable(members)
	if len(members) == 0 {
		return "", false
	}
	if auditor.try(members[0], batch, second) {
		return members[0].VM, true
	}
	others := members[1:]
	answers := make(chan core.VMID, len(others))
	for _, member := range others {
		auditor.running.Go(func() {
			if auditor.try(member, batch, second) {
				answers <- member.VM
				return
			}
			answers <- ""
		})
	}
	for range others {
		if vm := <-answers; vm != "" {
			return vm, true
		}
	}
	return "", false
}

func (auditor *Auditor) try(member Member, batch []*item, second bool) bool {
	err := auditor.offer(member, batch, second)
	if err != nil && auditor.ctx.Err() == nil {
		auditor.fail(member.VM, err)
	}
	return err == nil
}

// offer returns nil if the batch is synced on the member's disk.
func (auditor *Auditor) offer(member Member, batch []*item, second bool) error {
	if member.VM == auditor.options.Self.VM {
		return auditor.append(batch)
	}
	durable, err := auditor.ask(member.VM, batch, second)
	if err == nil && !durable {
		err = errors.New("the VM has no disk")
	}
	return err
}

func (auditor *Auditor) append(batch []*item) error {
	if auditor.options.Store == nil {
		return errors.New("this VM has no disk")
	}
	payloads := make([]audit.Payload, 0, len(batch))
	for _, item := range batch {
		payloads = append(payloads, item.payload)
	}
	return auditor.options.Store.Append(auditor.ctx, payloads...)
}

// ask sends a batch to another VM and returns whether that has it on a disk.
func (auditor *Auditor) ask(vm core.VMID, batch []*item, second bool) (bool, error) {
	ctx, cancel := context.WithTimeout(auditor.ctx, callTimeout)
	defer cancel()
	response, err := auditor.options.Caller.Call(ctx, vm, message(batch, second))
	if err != nil {
		return false, errors.Wrap(err, "send audit records")
	}
	result := response.GetAuditResult()
	if result == nil {
		return false, errors.New("the answer holds no result")
	}
	if result.GetReason() != "" {
		return false, errors.New(result.GetReason())
	}
	return result.GetDurable(), nil
}

// delivered removes a batch from the queue and hands it on for its second copy.
func (auditor *Auditor) delivered(batch []*item, holder core.VMID) {
	delivered.Add(len(batch))
	auditor.mutex.Lock()
	auditor.queue = auditor.queue[len(batch):]
	auditor.held = max(0, auditor.held-len(batch))
	for _, item := range batch {
		item.holder = holder
	}
	auditor.addCopies(batch)
	queued.Set(float64(len(auditor.queue)))
	auditor.mutex.Unlock()
	wake(auditor.wakeCopy)
	accept(batch)
}

// accept lets the starts of a batch return.
func accept(batch []*item) {
	for _, item := range batch {
		if item.accepted != nil {
			close(item.accepted)
			item.accepted = nil
		}
	}
}

// buffer keeps the queue in memory until a disk can be reached. The new part of it
// is marked and copied to another VM of the zone, if there is one.
func (auditor *Auditor) buffer() {
	for {
		batch := auditor.unheld()
		if len(batch) == 0 {
			return
		}
		if !auditor.hold(batch) {
			return
		}
	}
}

func (auditor *Auditor) unheld() []*item {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	for auditor.held < len(auditor.queue) && auditor.queue[auditor.held].held {
		auditor.held++
	}
	var batch []*item
	for _, item := range auditor.queue[auditor.held:] {
		if !item.held && len(batch) < batchRecords {
			batch = append(batch, item)
		}
	}
	return batch
}

// hold keeps a batch in memory here and at one other VM of the zone, or here alone if
// there is no other that answers. It returns false if the auditor was stopped.
func (auditor *Auditor) hold(batch []*item) bool {
	for _, item := range batch {
		item.record.Buffered = true
		item.payload = encode(item.record)
	}
	batch = auditor.encode(batch)
	for _, member := range auditor.usable(auditor.places().buddies) {
		_, err := auditor.ask(member.VM, batch, false)
		if err == nil {
			break
		}
		auditor.fail(member.VM, err)
	}
	if auditor.ctx.Err() != nil {
		return false
	}
	buffered.Add(len(batch))
	auditor.mutex.Lock()
	for _, item := range batch {
		item.held = true
	}
	auditor.mutex.Unlock()
	accept(batch)
	return true
}
