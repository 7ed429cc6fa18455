package auditor

import "slices"

// sendCopies sends second copies in batches and repeats each batch until it is
// acknowledged. It returns when the auditor is closed and nothing is left, or was stopped.
func (auditor *Auditor) sendCopies() {
	for {
		batch, last := auditor.nextCopyBatch()
		if len(batch) == 0 && last {
			return
		}
		if len(batch) == 0 {
			if !auditor.waitFor(auditor.wakeCopy, 0) || !auditor.waitForCopies() {
				return
			}
			continue
		}
		_, ok := auditor.deliver(batch, auditor.currentTargets().secondCopyDisks(batch[0].firstCopyVM), true)
		if ok {
			copiesTotal.Add(len(batch))
			auditor.removeCopies(batch)
			if !auditor.waitForCopies() {
				return
			}
			continue
		}
		if !auditor.waitFor(auditor.wakeCopy, retryInterval) {
			return
		}
	}
}

// waitForCopies waits Options.CopyDelay for more copies, unless the auditor is closing. It
// returns false if the auditor was stopped.
func (auditor *Auditor) waitForCopies() bool {
	auditor.mutex.Lock()
	closed := auditor.closed
	auditor.mutex.Unlock()
	return closed || auditor.waitFor(nil, auditor.options.CopyDelay)
}

// addCopies queues a batch for its second copy. If more than Options.Copies are queued, or more than
// maxCopyBytes, the oldest are dropped: they are on one disk already, and requests do not wait for
// second copies. The caller holds the mutex.
func (auditor *Auditor) addCopies(batch []*pendingRecord) {
	if len(auditor.targets.disks) < 2 {
		return
	}
	auditor.copies = append(auditor.copies, batch...)
	for _, item := range batch {
		auditor.copyBytes += len(item.payload)
	}
	over := 0
	for over < len(auditor.copies)-auditor.options.Copies || auditor.copyBytes > maxCopyBytes {
		auditor.copyBytes -= len(auditor.copies[over].payload)
		over++
	}
	if over > 0 {
		auditor.copies = auditor.copies[over:]
		auditor.droppedCopies += uint64(over)
		copiesDroppedTotal.Add(over)
	}
	copiesWaiting.Set(float64(len(auditor.copies)))
}

// nextCopyBatch returns the oldest copies that have the same firstCopyVM, up to the limits
// of a batch, and whether no more copies can follow.
func (auditor *Auditor) nextCopyBatch() ([]*pendingRecord, bool) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	size := 0
	for i, item := range auditor.copies {
		size += len(item.payload)
		if i > 0 && (i >= batchRecords || size > batchBytes || item.firstCopyVM != auditor.copies[0].firstCopyVM) {
			return slices.Clone(auditor.copies[:i]), false
		}
	}
	return slices.Clone(auditor.copies), auditor.closed && len(auditor.queue) == 0
}

// removeCopies removes an acknowledged batch. Records of it that addCopies has dropped
// meanwhile are skipped.
func (auditor *Auditor) removeCopies(batch []*pendingRecord) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	for _, item := range batch {
		if len(auditor.copies) > 0 && auditor.copies[0] == item {
			auditor.copyBytes -= len(item.payload)
			auditor.copies = auditor.copies[1:]
		}
	}
	copiesWaiting.Set(float64(len(auditor.copies)))
}
