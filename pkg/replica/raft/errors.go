package raft

import "github.com/go-faster/errors"

// Errors returned for proposals and membership changes.
var (
	// ErrNotLeader means that the replica is not the leader; nothing was appended.
	ErrNotLeader = errors.New("the replica is not the leader")
	// ErrChangePending means that the latest membership change, or the first entry of
	// the leader's term, is not committed yet.
	ErrChangePending = errors.New("a membership change must wait for the last one to commit")
	// ErrNotCaughtUp means that the learner has not acknowledged every committed entry.
	ErrNotCaughtUp = errors.New("the learner does not hold every committed entry")
	// ErrNotMember means that the replica does not have the role that the change
	// requires: AddLearner requires a replica that is not a member, Promote a learner,
	// and Remove a member other than the last voter.
	ErrNotMember = errors.New("the replica is not a member with that role")
	// ErrNoQuorum means that no quorum of the new voters has replied to this leader.
	ErrNoQuorum = errors.New("no quorum of the new voters has replied in this term")
)

// usageError is the panic value for incorrect use of a Node or a violated invariant.
type usageError string

// Error returns the text of the error.
func (err usageError) Error() string { return string(err) }

const (
	errMembershipEncoding usageError = "raft: encoding the membership failed"
	errReadyPending       usageError = "raft: method called between Ready and Advance"
	errNoReady            usageError = "raft: Advance called without a preceding Ready"
	errBadConfig          usageError = "raft: HeartbeatTicks must be positive and ElectionTicks must be greater than HeartbeatTicks"
	errCommittedTruncated usageError = "raft: an append from the leader conflicts with a committed entry"
	errCompactUnapplied   usageError = "raft: Compact called with an index that is not applied"
)
