package raft

import "github.com/go-faster/errors"

// The errors of proposals.
var (
	// ErrNotLeader means that the replica does not lead; nothing was appended.
	ErrNotLeader = errors.New("the replica is not the leader")
	// ErrChangePending means that the last membership change, or the first entry of
	// the term, is not committed yet.
	ErrChangePending = errors.New("a membership change must wait for the last one to commit")
	// ErrNotCaughtUp means that the learner does not hold every committed entry.
	ErrNotCaughtUp = errors.New("the learner does not hold every committed entry")
	// ErrNotMember means that the replica has not the role that the change needs.
	ErrNotMember = errors.New("the replica is not a member with that role")
)

// misuse is a mistake of the program that uses a Node.
type misuse string

// Error returns the mistake.
func (mistake misuse) Error() string { return string(mistake) }

const (
	errMembershipEncoding misuse = "raft: a membership cannot be encoded"
	errReadyPending       misuse = "raft: a Ready must be followed by Advance"
	errNoReady            misuse = "raft: Advance without Ready"
	errBadConfig          misuse = "raft: ElectionTicks must be larger than HeartbeatTicks, which must be positive"
	errCommittedCut       misuse = "raft: a leader contradicts a committed entry"
	errCompactUnapplied   misuse = "raft: a snapshot must end at an applied entry"
)
