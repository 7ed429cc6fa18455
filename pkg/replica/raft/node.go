package raft

import (
	"math/rand/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Role is the Raft role of a replica in its term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config configures a Node. Zero values of MaxBatchBytes, MaxInFlight and KeepEntries
// select the defaults.
type Config struct {
	Shard core.ShardID
	ID    ReplicaID
	// ElectionTicks is the minimum election timeout in ticks. The timeout is random, and
	// its maximum is 2*ElectionTicks-1.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats of the leader.
	HeartbeatTicks int
	// Seed makes the random election timeouts reproducible.
	Seed uint64
	// MaxBatchBytes limits the entry data in one Append. A single larger entry is sent
	// alone.
	MaxBatchBytes int
	// MaxInFlight limits the entries that are sent and not acknowledged. It is checked
	// before each batch, so that a batch may exceed it.
	MaxInFlight int
	// KeepEntries is the number of entries up to the snapshot index that Compact retains
	// for followers that are slightly behind.
	KeepEntries int
}

const (
	defaultBatchBytes  = 1 << 20 // a quarter of the largest frame between VMs
	defaultInFlight    = 8192
	defaultKeepEntries = 512
)

// snapshotRetryTimeouts is the number of minimum election timeouts after which an
// unacknowledged snapshot is sent again.
const snapshotRetryTimeouts = 4

// Restored is the state that a replica read from its disk. The zero value is that of
// an empty replica.
type Restored struct {
	HardState HardState
	// Snapshot does not need Data.
	Snapshot Snapshot
	// Entries follow Snapshot without gaps.
	Entries []Entry
}

// membershipRecord is a membership and the index of the entry or snapshot that set it.
type membershipRecord struct {
	index   Index
	members Membership
}

// Node is one replica of a shard. It is not safe for concurrent use.
type Node struct {
	config    Config
	random    *rand.Rand
	role      Role
	leader    ReplicaID
	hardState HardState
	log       log
	// applied is the last index that was returned in Ready.Committed and confirmed by
	// Advance, or that a snapshot covers.
	applied  Index
	snapshot Snapshot
	// memberships holds the membership in effect at the snapshot and all later ones, in
	// the order of their indexes.
	memberships []membershipRecord

	// electionElapsed is the number of ticks since the election timer was reset, and on a
	// leader since the last quorum check.
	electionElapsed int
	// heartbeatElapsed is the number of ticks since the leader's last regular heartbeat.
	heartbeatElapsed int
	// electionTimeout is the number of ticks after which a voter that is not the leader
	// starts a pre-vote.
	electionTimeout int
	// votes holds the votes in the current pre-vote or election; true means granted.
	votes map[ReplicaID]bool
	// lost holds the voters that are known to be lost, and the index of the first entry that
	// was or will be appended after that was known.
	lost map[ReplicaID]Index
	// lostBefore holds the voters that were known to be lost when the current pre-vote or
	// election began.
	lostBefore map[ReplicaID]Index
	progress   map[ReplicaID]*progress
	// termStartIndex is the index of the first entry of this leader's term.
	termStartIndex Index
	// heartbeatRound is the number of the last heartbeat round that this replica started.
	heartbeatRound uint64
	// hasUnsentEntries is set while the leader has appended entries that it has not sent.
	hasUnsentEntries bool

	messages        []Message
	pendingSnapshot *Snapshot
	syncedHardState HardState
	pendingReady    *Ready
}

// New returns a follower that continues from the restored state. It panics if
// config.HeartbeatTicks is not positive or config.ElectionTicks is not greater.
func New(config Config, restored Restored) *Node {
	if config.HeartbeatTicks <= 0 || config.ElectionTicks <= config.HeartbeatTicks {
		panic(errBadConfig)
	}
	setDefault(&config.MaxBatchBytes, defaultBatchBytes)
	setDefault(&config.MaxInFlight, defaultInFlight)
	setDefault(&config.KeepEntries, defaultKeepEntries)
	node := &Node{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
	node.restore(restored)
	node.becomeFollower(node.hardState.Term, ReplicaID{})
	node.electionTimeout = config.initialElectionTimeout() + node.random.IntN(max(1, config.ElectionTicks/2))
	return node
}

// initialElectionTimeout returns the minimum election timeout after a start, in ticks.
// It is shorter than later ones: a running leader sends a heartbeat within that time and
// cannot be deposed by a pre-vote, and when all replicas start together, no request is
// served until a leader is elected.
func (config Config) initialElectionTimeout() int {
	return min(2*config.HeartbeatTicks, config.ElectionTicks)
}

func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func (node *Node) restore(restored Restored) {
	node.hardState = restored.HardState
	node.hardState.Commit = max(node.hardState.Commit, restored.Snapshot.Index)
	node.snapshot = restored.Snapshot
	node.snapshot.Data = nil
	node.applied = restored.Snapshot.Index
	node.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	node.memberships = []membershipRecord{{restored.Snapshot.Index, restored.Snapshot.Membership}}
	for _, entry := range restored.Entries {
		node.appendEntry(entry)
	}
	node.log.stable = node.log.last()
	node.hardState.Commit = min(node.hardState.Commit, node.log.last())
	node.syncedHardState = node.hardState
}

// appendEntry appends an entry to the log. A membership takes effect when it is
// appended, not when it is committed.
func (node *Node) appendEntry(entry Entry) {
	node.log.append(entry)
	if entry.Type != EntryMembership {
		return
	}
	members, err := DecodeMembership(entry.Data)
	if err != nil {
		return // written by a later version of the software; the previous membership stays in effect
	}
	node.memberships = append(node.memberships, membershipRecord{entry.Index, members})
}

// Status is the state of a Node at one point in time.
type Status struct {
	ID      ReplicaID
	Role    Role
	Term    Term
	Leader  ReplicaID
	Commit  Index
	Applied Index
	Last    Index
	// Snapshot is the index of the latest snapshot.
	Snapshot   Index
	Membership Membership
	// Electors are the replicas whose votes an election counts: the voters of Membership and, while
	// it is not committed and one of both allows halves, those of the membership before. The
	// caller must not change them.
	Electors []ReplicaID
	// MembershipIndex is the index of the entry that set Membership.
	MembershipIndex Index
	// MembershipCommitted is set if the entry that set Membership is committed.
	MembershipCommitted bool
	// CommittedInTerm is set if this leader has committed an entry of its own term, so that
	// Commit covers all entries that earlier leaders committed.
	CommittedInTerm bool
	// Confirmed is the last heartbeat round that a quorum has replied to, or 0 if the
	// node is not the leader; see Confirm.
	Confirmed uint64
}

// Status returns the current state of the node.
func (node *Node) Status() Status {
	return Status{
		ID: node.config.ID, Role: node.role, Term: node.hardState.Term, Leader: node.leader,
		Commit: node.hardState.Commit, Applied: node.applied, Last: node.log.last(),
		Snapshot: node.snapshot.Index, Membership: node.members(), Electors: node.electors(),
		MembershipIndex:     node.memberships[len(node.memberships)-1].index,
		MembershipCommitted: node.memberships[len(node.memberships)-1].index <= node.hardState.Commit,
		CommittedInTerm:     node.role == Leader && node.hardState.Commit >= node.termStartIndex,
		Confirmed:           node.confirmedRound(),
	}
}

// IsEmpty reports whether the replica has no log and has not taken part in an election.
func (node *Node) IsEmpty() bool {
	return node.hardState.Term == 0 && node.log.last() == 0
}

// members returns the latest membership in the log, whether committed or not.
func (node *Node) members() Membership {
	return node.memberships[len(node.memberships)-1].members
}

// send queues a message for the next Ready. A zero term means the current term.
func (node *Node) send(message Message) {
	message.Shard = node.config.Shard
	message.From = node.config.ID
	if message.Term == 0 {
		message.Term = node.hardState.Term
	}
	node.messages = append(node.messages, message)
}

func (node *Node) becomeFollower(term Term, leader ReplicaID) {
	if term > node.hardState.Term {
		node.hardState.Term = term
		node.hardState.Vote = ReplicaID{}
	}
	node.role = Follower
	node.leader = leader
	node.progress = nil
	node.votes = nil
	node.hasUnsentEntries = false
	node.resetElectionTimeout()
}

func (node *Node) resetElectionTimeout() {
	node.electionElapsed = 0
	node.electionTimeout = node.config.ElectionTicks + node.random.IntN(node.config.ElectionTicks)
}

// Tick advances the logical clock of the node by one tick.
func (node *Node) Tick() {
	node.checkNoPendingReady()
	node.electionElapsed++
	if node.role == Leader {
		node.tickLeader()
		return
	}
	if node.electionElapsed >= node.electionTimeout {
		node.resetElectionTimeout()
		// A learner also clears its leader; otherwise it would reject every candidate.
		node.leader = ReplicaID{}
		if node.members().IsVoter(node.config.ID) {
			node.campaign(PreCandidate)
		}
	}
}

// checkNoPendingReady panics between Ready and Advance.
func (node *Node) checkNoPendingReady() {
	if node.pendingReady != nil {
		panic(errReadyPending)
	}
}
