// Package raft is the deterministic core of a replicated log in the style of
// Raft: pre-vote, election, replication in batches, snapshots and membership
// changes of one replica at a time.
//
// A Node has no clock, no goroutine and does no input or output. Its user feeds
// it with Step, Tick and Propose, takes a Ready, and does its work in this order:
// send Early, sync Snapshot, HardState and Entries, send Messages, apply
// Committed, call Advance.
//
// A replica is named by its VM and the incarnation of its disk. A VM whose disk
// was wiped is a new replica: it starts as a learner, and the entry that makes it
// a voter removes the former incarnation.
package raft
