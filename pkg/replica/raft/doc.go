// Package raft implements the Raft consensus algorithm as a deterministic state
// machine: pre-vote, leader election, batched log replication, snapshots, and
// membership changes of one replica at a time.
//
// A Node has no clock, starts no goroutine and performs no I/O. The caller passes
// input to Step, Tick and Propose, takes a Ready, and processes it in this order:
// send MessagesBeforeSync; sync Snapshot, HardState and Entries; send Messages; apply
// Committed; call Advance.
//
// A replica is identified by its VM and the incarnation of its disk. A VM whose
// disk was wiped is a new replica: it joins as a learner, and the entry that
// promotes it to voter removes the replica of the previous incarnation.
package raft
