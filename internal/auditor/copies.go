package auditor

import "slices"

// sendCopies sends second copies until they are acknowledged.
func (auditor *Auditor) sendCopies() {
	for {
		batch, last := auditor.copyBatch()
		if len(batch) == 0 && last {
			return
		}
		if len(batch) == 0 {
			if !auditor.await(auditor.wakeCopy, 0) || !auditor.gather() {
				return
			}
			continue
		}
		_, ok := auditor.deliver(batch, auditor.places().seconds(batch[0].holder), true)
		if ok {
			copied.Add(len(batch))
			auditor.removeCopies(batch)
			if !auditor.gather() {
				return
			}
			continue
		}
		if !auditor.await(auditor.wakeCopy, retryAfter) {
			return
		}
	}
}

// gather waits for more copies, unless the auditor is closing. It returns false if
// the auditor was stopped.
func (auditor *Auditor) gather() bool {
	auditor.mutex.Lock()
	closed := auditor.closed
	auditor.mutex.Unlock()
	return closed || auditor.await(nil, auditor.options.CopyDelay)
}

// addCopies queues a batch for its second copy. If too many wait, the oldest are
// given up: they are on one disk, and serving does not stop for them. The caller
// holds the lock.
func (auditor *Auditor) addCopies(batch []*item) {
	if len(auditor.targets.disks) < 2 {
		return
	}
	auditor.copies = append(auditor.copies, batch...)
	if over := len(auditor.copies) - auditor.options.Copies; over > 0 {
		auditor.copies = auditor.copies[over:]
		auditor.drops += uint64(over)
		dropped.Add(over)
	}
	waiting.Set(float64(len(auditor.copies)))
}

// copyBatch returns the oldest copies that have the same holder, and whether no
// more can follow.
func (auditor *Auditor) copyBatch() ([]*item, bool) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	size := 0
	for i, item := range auditor.copies {
		size += len(item.payload)
		if i > 0 && (i >= batchRecords || size > batchBytes || item.holder != auditor.copies[0].holder) {
			return slices.Clone(auditor.copies[:i]), false
		}
	}
	return slices.Clone(auditor.copies), auditor.closed && len(auditor.queue) == 0
}

// removeCopies removes a batch that is acknowledged. Older ones may have been given
// up meanwhile.
func (auditor *Auditor) removeCopies(batch []*item) {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	for _, item := range batch {
		if len(auditor.copies) > 0 && auditor.copies[0] == item {
			auditor.copies = auditor.copies[1:]
		}
	}
	waiting.Set(float64(len(auditor.copies)))
}
