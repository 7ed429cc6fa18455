package raft

import "github.com/dandelionring/dandelionring/pkg/core"

// Term numbers the periods between elections. Zero is the term of a replica that
// took part in none.
type Term uint64

// Index numbers the entries of a log from 1.
type Index uint64

// ReplicaID names a replica: a VM together with the incarnation of its disk.
type ReplicaID struct {
	VM          core.VMID
	Incarnation core.Incarnation
}

// IsZero reports whether id names no replica.
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

// EntryType tells what an entry holds. The values are stored on disk.
type EntryType uint8

// The types of entries.
const (
	// EntryEmpty opens the term of a leader and holds nothing.
	EntryEmpty EntryType = iota + 1
	// EntryCommand holds a command of the state machine.
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

// HardState is what a replica must have synced before it answers.
type HardState struct {
	Term   Term
	Vote   ReplicaID
	Commit Index
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	// Data is the state machine at Index. A Node leaves it empty in the snapshots
	// that it sends; the user fills in what it stored.
	Data []byte
}

// MessageType tells what a message asks or answers. The values are sent between
// VMs.
type MessageType uint8

// The types of messages.
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

// Message is one message between two replicas of a shard.
type Message struct {
	Shard core.ShardID
	From  ReplicaID
	To    ReplicaID
	Type  MessageType
	Term  Term
	// LogIndex and LogTerm describe the entry before Entries in Append, the last
	// entry of the candidate in Vote and PreVote, and the last entry that agrees
	// with the leader in AppendReply.
	LogIndex Index
	LogTerm  Term
	Commit   Index
	Reject   bool
	// Hint is the largest index at which a rejecting follower may agree.
	Hint Index
	// Context is the round of a Heartbeat and its reply.
	Context  uint64
	Entries  []Entry
	Snapshot *Snapshot
}

func (kind MessageType) fromLeader() bool {
	return kind == Append || kind == Heartbeat || kind == InstallSnapshot
}
