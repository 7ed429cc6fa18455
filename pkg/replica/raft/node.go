package raft

import (
	"math/rand/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Role is the part that a replica plays in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config sets up a Node. Zero bounds mean the defaults.
type Config struct {
	Shard core.ShardID
	ID    ReplicaID
	// ElectionTicks is the shortest time without a leader before an election; the
	// longest is just under twice that.
	ElectionTicks  int
	HeartbeatTicks int
	// Seed makes the random election timeouts repeatable.
	Seed uint64
	// MaxBatchBytes bounds the data in one Append.
	MaxBatchBytes int
	// MaxInFlight bounds the entries that were sent and are not answered.
	MaxInFlight int
	// KeepEntries is the number of entries that Compact leaves in front of the
	// snapshot, for followers that are a little behind.
	KeepEntries int
}

const (
	defaultBatchBytes  = 1 << 20 // a quarter of the largest frame between VMs
	defaultInFlight    = 8192
	defaultKeepEntries = 512
)

// snapshotRetryTicks is the number of election timeouts after which an
// unanswered snapshot is sent again.
const snapshotRetryTimeouts = 4

// Restored is what a replica read from its disk. The zero value is an empty
// replica.
type Restored struct {
	HardState HardState
	// Snapshot needs no Data.
	Snapshot Snapshot
	// Entries follow Snapshot without a gap.
	Entries []Entry
}

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index   Index
	members Membership
}

// Node is one replica of a shard. It may be used by one goroutine at a time.
type Node struct {
	config Config
	random *rand.Rand
	role   Role
	leader ReplicaID
	hard   HardState
	log    log
	// applied is the last index that was handed out as committed.
	applied  Index
	snapshot Snapshot
	// history holds the membership of the snapshot and all later ones.
	history []membershipAt

	elapsed   int
	beat      int
	timeout   int
	votes     map[ReplicaID]bool
	progress  map[ReplicaID]*progress
	termStart Index
	round     uint64
	// unsent is set while the leader has entries that were not sent.
	unsent bool

	messages []Message
	install  *Snapshot
	synced   HardState
	pending  *Ready
}

// New returns a node that continues from what was restored.
func New(config Config, restored Restored) *Node {
	if config.HeartbeatTicks <= 0 || config.ElectionTicks <= config.HeartbeatTicks {
		panic(errBadConfig)
	}
	setDefault(&config.MaxBatchBytes, defaultBatchBytes)
	setDefault(&config.MaxInFlight, defaultInFlight)
	setDefault(&config.KeepEntries, defaultKeepEntries)
	node := &Node{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
	node.restore(restored)
	node.becomeFollower(node.hard.Term, ReplicaID{})
	node.timeout = config.firstTimeout() + node.random.IntN(max(1, config.ElectionTicks/2))
	return node
}

// firstTimeout is the shortest time without a leader before the first election after a
// start. A living leader is heard of within a heartbeat, and a pre-vote cannot depose it;
// when all replicas start together, nobody is served before the election.
func (config Config) firstTimeout() int {
	return min(2*config.HeartbeatTicks, config.ElectionTicks)
}

func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func (node *Node) restore(restored Restored) {
	node.hard = restored.HardState
	node.hard.Commit = max(node.hard.Commit, restored.Snapshot.Index)
	node.snapshot = restored.Snapshot
	node.snapshot.Data = nil
	node.applied = restored.Snapshot.Index
	node.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	node.history = []membershipAt{{restored.Snapshot.Index, restored.Snapshot.Membership}}
	for _, entry := range restored.Entries {
		node.add(entry)
	}
	node.log.stable = node.log.last()
	node.hard.Commit = min(node.hard.Commit, node.log.last())
	node.synced = node.hard
}

// add appends an entry; a membership is in force from then on.
func (node *Node) add(entry Entry) {
	node.log.add(entry)
	if entry.Type != EntryMembership {
		return
	}
	members, err := DecodeMembership(entry.Data)
	if err != nil {
		return // an entry from a later version; the last membership stays
	}
	node.history = append(node.history, membershipAt{entry.Index, members})
}

// Status describes a node.
type Status struct {
	ID      ReplicaID
	Role    Role
	Term    Term
	Leader  ReplicaID
	Commit  Index
	Applied Index
	Last    Index
	// Snapshot is the index of the last snapshot.
	Snapshot   Index
	Membership Membership
	// MembershipCommitted is set if the entry that set Membership is committed.
	MembershipCommitted bool
	// Settled is set if this leader has committed an entry of its own term, so that
	// Commit covers everything that earlier leaders committed.
	Settled bool
	// Confirmed is the last round that a quorum answered; see Confirm.
	Confirmed uint64
}

// Status returns the present state of the node.
func (node *Node) Status() Status {
	return Status{
		ID: node.config.ID, Role: node.role, Term: node.hard.Term, Leader: node.leader,
		Commit: node.hard.Commit, Applied: node.applied, Last: node.log.last(),
		Snapshot: node.snapshot.Index, Membership: node.members(),
		MembershipCommitted: node.history[len(node.history)-1].index <= node.hard.Commit,
		Settled:             node.role == Leader && node.hard.Commit >= node.termStart,
		Confirmed:           node.confirmed(),
	}
}

// IsEmpty reports whether the replica holds no log and took part in no election.
func (node *Node) IsEmpty() bool {
	return node.hard.Term == 0 && node.log.last() == 0
}

func (node *Node) members() Membership {
	return node.history[len(node.history)-1].members
}

func (node *Node) send(message Message) {
	message.Shard = node.config.Shard
	message.From = node.config.ID
	if message.Term == 0 {
		message.Term = node.hard.Term
	}
	node.messages = append(node.messages, message)
}

func (node *Node) becomeFollower(term Term, leader ReplicaID) {
	if term > node.hard.Term {
		node.hard.Term = term
		node.hard.Vote = ReplicaID{}
	}
	node.role = Follower
	node.leader = leader
	node.progress = nil
	node.votes = nil
	node.unsent = false
	node.resetTimeout()
}

func (node *Node) resetTimeout() {
	node.elapsed = 0
	node.timeout = node.config.ElectionTicks + node.random.IntN(node.config.ElectionTicks)
}

// Tick moves the node's time on by one step.
func (node *Node) Tick() {
	node.checkIdle()
	node.elapsed++
	if node.role == Leader {
		node.tickLeader()
		return
	}
	if node.elapsed >= node.timeout {
		node.resetTimeout()
		// A learner forgets the leader too, or it would refuse every candidate.
		node.leader = ReplicaID{}
		if node.members().IsVoter(node.config.ID) {
			node.campaign(PreCandidate)
		}
	}
}

func (node *Node) checkIdle() {
	if node.pending != nil {
		panic(errReadyPending)
	}
}
