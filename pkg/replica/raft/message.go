package raft

import "github.com/dandelionring/dandelionring/pkg/core"

// Term is a Raft term. Zero is the term of a replica that has not taken part in an
// election.
type Term uint64

// Index is the position of an entry in the log. The first entry has index 1.
type Index uint64

// ReplicaID identifies a replica by its VM and the incarnation of its disk.
type ReplicaID struct {
	VM          core.VMID
	Incarnation core.Incarnation
}

// IsZero reports whether id is the zero value, which identifies no replica.
func (id ReplicaID) IsZero() bool {
	return id == ReplicaID{}
}

// String returns "vm/incarnation".
func (id ReplicaID) String() string {
	return string(id.VM) + "/" + string(id.Incarnation)
}

func (id ReplicaID) less(other ReplicaID) bool {
	if id.VM != other.VM {
		return id.VM < other.VM
	}
	return id.Incarnation < other.Incarnation
}

// EntryType is the kind of an entry. The values are stored on disk.
type EntryType uint8

// Entry types.
const (
	// EntryEmpty is the entry without data that a new leader appends first, to commit
	// entries of earlier terms.
	EntryEmpty EntryType = iota + 1
	// EntryCommand holds a command for the state machine.
	EntryCommand
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Type  EntryType
	Data  []byte
}

// HardState is the persistent state of a replica besides the log. Term and Vote must
// be synced before the messages that depend on them are sent; a stale Commit is
// harmless.
type HardState struct {
	Term   Term
	Vote   ReplicaID
	Commit Index
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	// Data is the encoded state machine at Index. It is empty in snapshots that a Node
	// sends; the caller fills in the data that it stored.
	Data []byte
}

// MessageType is the kind of a message. The values are sent between VMs.
type MessageType uint8

// Message types.
const (
	PreVote MessageType = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	InstallSnapshot
)

// String returns the name of the type, and "unknown" for any other value.
func (kind MessageType) String() string {
	names := [...]string{
		"unknown", "pre-vote", "pre-vote reply", "vote", "vote reply", "append",
		"append reply", "heartbeat", "heartbeat reply", "install snapshot",
	}
	if int(kind) >= len(names) {
		return names[0]
	}
	return names[kind]
}

// Message is a message between two replicas of a shard.
type Message struct {
	Shard core.ShardID
	From  ReplicaID
	To    ReplicaID
	Type  MessageType
	Term  Term
	// LogIndex and LogTerm identify the entry that precedes Entries in Append, and the
	// last entry of the candidate in Vote and PreVote. In AppendReply, LogIndex is the
	// last index that matches the leader's log, or the rejected index if Reject is set.
	LogIndex Index
	LogTerm  Term
	Commit   Index
	Reject   bool
	// Hint is the largest index at which the log of a rejecting follower may match the
	// leader's log.
	Hint Index
	// Context is the heartbeat round in Heartbeat and HeartbeatReply.
	Context  uint64
	Entries  []Entry
	Snapshot *Snapshot
}

func (kind MessageType) isFromLeader() bool {
	return kind == Append || kind == Heartbeat || kind == InstallSnapshot
}
