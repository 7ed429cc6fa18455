package raft

import "slices"

// sendMode tells how the leader sends entries to a replica.
type sendMode uint8

const (
	// probing sends one batch and waits for the answer.
	probing sendMode = iota
	// streaming sends batches without waiting, up to MaxInFlight entries.
	streaming
	// installing waits for the answer to a snapshot.
	installing
)

// progress is what the leader knows about a replica.
type progress struct {
	match Index
	next  Index
	mode  sendMode
	// waiting is set while a probe is unanswered.
	waiting bool
	// snapshot is the index of the snapshot on its way, and age the ticks since it
	// was sent.
	snapshot Index
	age      int
	// active is set if the replica answered since the last check of the quorum.
	active bool
	// round is the last heartbeat round that the replica answered.
	round uint64
}

func (progress *progress) probe() {
	progress.mode = probing
	progress.waiting = false
	progress.next = max(progress.match+1, progress.snapshot+1)
	progress.snapshot = 0
}

// accept notes that the replica holds everything up to index. It returns false
// for an old answer.
func (progress *progress) accept(index Index) bool {
	progress.waiting = false
	if index > progress.match {
		progress.match = index
		progress.next = max(progress.next, index+1)
		return true
	}
	return false
}

// reject notes that the replica does not hold the entry at index. It returns
// false for an old answer.
func (progress *progress) reject(index, hint Index) bool {
	if progress.mode == streaming {
		if index <= progress.match {
			return false
		}
		progress.mode = probing
		progress.next = progress.match + 1
		progress.waiting = false
		return true
	}
	if index != progress.next-1 {
		return false
	}
	progress.next = max(min(index, hint+1), progress.match+1)
	progress.waiting = false
	return true
}

// quorumValue returns the largest value that a majority has reached.
func quorumValue[V Index | uint64](values []V, quorum int) V {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorum]
}
