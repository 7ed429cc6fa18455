package raft

import "slices"

// sendMode is the way in which the leader sends entries to a replica.
type sendMode uint8

const (
	// probing sends one batch and waits for the reply.
	probing sendMode = iota
	// streaming sends batches without waiting for replies, up to MaxInFlight entries.
	streaming
	// installing waits for the reply to a snapshot.
	installing
)

// progress is the replication state of a replica as seen by the leader.
type progress struct {
	// match is the last index that the replica has acknowledged, and next the index of
	// the next entry to send.
	match Index
	next  Index
	mode  sendMode
	// awaitingReply is set while a probe is unanswered.
	awaitingReply bool
	// pendingSnapshot is the index of the snapshot that was sent and not acknowledged,
	// and snapshotAge the number of ticks since then.
	pendingSnapshot Index
	snapshotAge     int
	// recentlyActive is set if the replica replied since the last quorum check.
	recentlyActive bool
	// ackedRound is the last heartbeat round that the replica replied to.
	ackedRound uint64
}

// becomeProbing switches to probing after the last acknowledged entry or the pending
// snapshot, whichever is later.
func (progress *progress) becomeProbing() {
	progress.mode = probing
	progress.awaitingReply = false
	progress.next = max(progress.match+1, progress.pendingSnapshot+1)
	progress.pendingSnapshot = 0
}

// acknowledge records that the replica holds all entries up to index. It returns
// false for an outdated reply, which does not advance match.
func (progress *progress) acknowledge(index Index) bool {
	progress.awaitingReply = false
	if index > progress.match {
		progress.match = index
		progress.next = max(progress.next, index+1)
		return true
	}
	return false
}

// reject records that the replica does not hold the entry at index. It returns false
// for an outdated reply.
func (progress *progress) reject(index, hint Index) bool {
	if progress.mode == streaming {
		if index <= progress.match {
			return false
		}
		progress.mode = probing
		progress.next = progress.match + 1
		progress.awaitingReply = false
		return true
	}
	if index != progress.next-1 {
		return false
	}
	progress.next = max(min(index, hint+1), progress.match+1)
	progress.awaitingReply = false
	return true
}

// quorumValue returns the largest value that at least quorum of the values reach, or
// 0 if there are no values. It sorts values in place.
func quorumValue[V Index | uint64](values []V, quorum int) V {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorum]
}
