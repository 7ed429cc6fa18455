package raft

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// disk is the state that a replica has synced.
type disk struct {
	id       ReplicaID
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// machine is one VM of the simulated cluster.
type machine struct {
	disk disk
	node *Node // nil while the VM is down
	// applied is the state machine: the data of each applied command, in order.
	applied      []string
	appliedIndex Index
	// partition is the network partition that the VM is in. VMs receive messages only
	// from their own partition.
	partition int
}

// crashPoint is the step in the processing of a Ready before which a VM crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync
	beforeApply
)

// cluster simulates replicas on a network that may lose, duplicate and reorder messages,
// and checks the safety properties of Raft after every step.
type cluster struct {
	machines []*machine
	network  []Message
	leaders  map[Term]ReplicaID
	// applied holds each entry that at least one replica applied.
	applied    map[Index]Entry
	wipeCount  int
	startCount uint64
	// proposalCount is the content of the latest command, so that all commands differ.
	proposalCount int
	// polls are the answers in flight to the question for the incarnation of a VM.
	polls []poll
	fail  func(format string, args ...any)
}

// poll is the answer of a VM about its incarnation to a running node, with the electors that the
// node knew when it asked.
type poll struct {
	by       *Node
	electors []ReplicaID
	answer   ReplicaID
}

func newCluster(size int, fail func(string, ...any)) *cluster {
	cluster := &cluster{leaders: make(map[Term]ReplicaID), applied: make(map[Index]Entry), fail: fail}
	var voters []ReplicaID
	for i := range size {
		id := ReplicaID{core.VMID(fmt.Sprintf("vm-%d", i)), "0"}
		voters = append(voters, id)
		cluster.machines = append(cluster.machines, &machine{disk: disk{id: id}})
	}
	for _, machine := range cluster.machines {
		machine.disk.snapshot = Snapshot{Index: 1, Term: 1, Membership: NewMembership(voters...)}
		machine.disk.hard = HardState{Term: 1, Commit: 1}
		cluster.start(machine)
	}
	return cluster
}

// newHalvingCluster returns a cluster whose membership allows halves.
func newHalvingCluster(size int, fail func(string, ...any)) *cluster {
	cluster := newCluster(size, fail)
	for _, machine := range cluster.machines {
		machine.node = nil
		machine.disk.snapshot.Membership.CountsLost = true
		cluster.start(machine)
	}
	return cluster
}

// ask lets a running VM ask another one for its incarnation.
func (cluster *cluster) ask(by, other *machine) {
	if by.node != nil && other.node != nil && by.partition == other.partition {
		cluster.polls = append(cluster.polls, poll{by.node, by.node.Status().Electors, other.disk.id})
	}
}

// answer delivers the answer at a position, unless the process that asked has ended.
func (cluster *cluster) answer(position int) {
	poll := cluster.polls[position]
	cluster.polls = slices.Delete(cluster.polls, position, position+1)
	machine := cluster.machine(poll.by.Status().ID.VM)
	if machine.node != poll.by {
		return
	}
	for _, elector := range poll.electors {
		if elector.VM == poll.answer.VM && elector != poll.answer {
			poll.by.MarkLost(elector)
			cluster.processReady(machine, noCrash)
		}
	}
}

func (cluster *cluster) start(machine *machine) {
	if machine.node != nil {
		return
	}
	cluster.startCount++
	machine.node = New(Config{
		ID: machine.disk.id, ElectionTicks: 5, HeartbeatTicks: 1, Seed: cluster.startCount,
		MaxBatchBytes: 16, MaxInFlight: 8, KeepEntries: 3,
	}, Restored{HardState: machine.disk.hard, Snapshot: machine.disk.snapshot, Entries: slices.Clone(machine.disk.entries)})
	machine.loadSnapshot(machine.disk.snapshot)
}

func (machine *machine) loadSnapshot(snapshot Snapshot) {
	machine.applied, machine.appliedIndex = nil, snapshot.Index
	if len(snapshot.Data) > 0 {
		machine.applied = strings.Split(string(snapshot.Data), ",")
	}
}

// processReady processes each Ready of a VM, and crashes the VM before the given step.
func (cluster *cluster) processReady(machine *machine, crash crashPoint) {
	for machine.node != nil && machine.node.HasReady() {
		ready := machine.node.Ready()
		cluster.transmit(machine, ready.MessagesBeforeSync)
		if crash == beforeSync {
			machine.node = nil
			return
		}
		machine.disk.save(ready)
		if crash == afterSync {
			machine.node = nil
			return
		}
		cluster.transmit(machine, ready.Messages)
		if crash == beforeApply {
			machine.node = nil
			return
		}
		cluster.apply(machine, ready)
		machine.node.Advance()
	}
	cluster.checkLeader(machine)
}

func (disk *disk) save(ready Ready) {
	if ready.MustSync {
		disk.hard = ready.HardState
	}
	if ready.Snapshot != nil {
		disk.snapshot = *ready.Snapshot
		disk.entries = nil
	}
	if len(ready.Entries) == 0 {
		return
	}
	first := ready.Entries[0].Index
	disk.entries = slices.DeleteFunc(slices.Clone(disk.entries), func(entry Entry) bool { return entry.Index >= first })
	disk.entries = append(disk.entries, ready.Entries...)
}

// supports reports whether the disk holds the state that must be synced before the
// message is sent.
func (disk *disk) supports(message Message) bool {
	last := disk.snapshot.Index + Index(len(disk.entries))
	if len(disk.entries) > 0 {
		last = disk.entries[len(disk.entries)-1].Index
	}
	switch message.Type {
	case AppendReply:
		return message.Reject || last >= message.LogIndex
	case Vote:
		return disk.hard.Term == message.Term && disk.hard.Vote == disk.id
	case VoteReply:
		return message.Reject || disk.hard.Term == message.Term && disk.hard.Vote == message.To
	case Append, Heartbeat, InstallSnapshot:
		return disk.hard.Term == message.Term
	default:
		return true
	}
}

func (cluster *cluster) transmit(machine *machine, messages []Message) {
	for _, message := range messages {
		if !machine.disk.supports(message) {
			cluster.fail("%s sends a message %q for term %d and index %d before it has synced them", machine.disk.id, message.Type, message.Term, message.LogIndex)
		}
		if message.Type == InstallSnapshot {
			withData := machine.disk.snapshot
			message.Snapshot = &withData
		}
		cluster.network = append(cluster.network, message)
	}
}

func (cluster *cluster) apply(machine *machine, ready Ready) {
	if ready.Snapshot != nil {
		machine.loadSnapshot(*ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		if entry.Index != machine.appliedIndex+1 {
			cluster.fail("%s applies entry %d after entry %d", machine.disk.id, entry.Index, machine.appliedIndex)
		}
		previous, ok := cluster.applied[entry.Index]
		if ok && (previous.Term != entry.Term || string(previous.Data) != string(entry.Data)) {
			cluster.fail("%s applies entry %d of term %d, %q, but another replica applied entry %d of term %d, %q", machine.disk.id, entry.Index, entry.Term, entry.Data, previous.Index, previous.Term, previous.Data)
		}
		cluster.applied[entry.Index] = entry
		machine.appliedIndex = entry.Index
		if entry.Type == EntryCommand {
			machine.applied = append(machine.applied, string(entry.Data))
		}
	}
}

func (cluster *cluster) checkLeader(machine *machine) {
	if machine.node == nil {
		return
	}
	status := machine.node.Status()
	if status.Role != Leader {
		return
	}
	previous, ok := cluster.leaders[status.Term]
	if ok && previous != status.ID {
		cluster.fail("term %d has two leaders: %s and %s", status.Term, previous, status.ID)
	}
	cluster.leaders[status.Term] = status.ID
}

// deliver passes one message of the network to its receiver. The message remains in the
// network, so that it can be delivered again, if keep is set.
func (cluster *cluster) deliver(position int, keep bool, crash crashPoint) {
	message := cluster.network[position]
	if !keep {
		cluster.network = slices.Delete(cluster.network, position, position+1)
	}
	from := cluster.machine(message.From.VM)
	for _, machine := range cluster.machines {
		if machine.disk.id.VM == message.To.VM && machine.node != nil && machine.partition == from.partition {
			machine.node.Step(message)
			cluster.processReady(machine, crash)
		}
	}
}

func (cluster *cluster) machine(vm core.VMID) *machine {
	for _, machine := range cluster.machines {
		if machine.disk.id.VM == vm {
			return machine
		}
	}
	return nil
}

// heal ends all network partitions.
func (cluster *cluster) heal() {
	for _, machine := range cluster.machines {
		machine.partition = 0
	}
}

// propose proposes a command to each leader, including one that was deposed and has not
// been informed of the later term.
func (cluster *cluster) propose(machine *machine, crash crashPoint) {
	for _, other := range cluster.machines {
		if other.node == nil || other.node.Status().Role != Leader {
			continue
		}
		cluster.proposalCount++
		_, _, _ = other.node.Propose([]byte(fmt.Sprint(cluster.proposalCount)))
		if other == machine {
			cluster.processReady(other, crash)
		} else {
			cluster.processReady(other, noCrash)
		}
	}
}

func (cluster *cluster) tick(machine *machine) {
	if machine.node != nil {
		machine.node.Tick()
		cluster.processReady(machine, noCrash)
	}
}

// leader returns the running leader with the highest term, or nil.
func (cluster *cluster) leader() *machine {
	var leader *machine
	for _, machine := range cluster.machines {
		if machine.node == nil || machine.node.Status().Role != Leader {
			continue
		}
		if leader == nil || machine.node.Status().Term > leader.node.Status().Term {
			leader = machine
		}
	}
	return leader
}

// compact takes a snapshot of a running VM and stores it.
func (cluster *cluster) compact(machine *machine) {
	if machine.node == nil {
		return
	}
	snapshot, ok := machine.node.Compact(machine.appliedIndex)
	if !ok {
		return
	}
	snapshot.Data = []byte(strings.Join(machine.applied, ","))
	machine.disk.snapshot = snapshot
	machine.disk.entries = slices.DeleteFunc(machine.disk.entries, func(entry Entry) bool { return entry.Index <= snapshot.Index })
}

// intactVoters returns how many voters of the last applied membership still have their
// disk, and the number of all voters.
func (cluster *cluster) intactVoters() (intact, voters int) {
	members := cluster.members()
	for _, machine := range cluster.machines {
		if members.IsVoter(machine.disk.id) {
			intact++
		}
	}
	return intact, len(members.Voters)
}

// isIntact reports whether a replica still has its disk.
func (cluster *cluster) isIntact(id ReplicaID) bool {
	return cluster.machine(id.VM).disk.id == id
}

// survives reports whether a quorum of voters keeps their disks if a VM loses its disk. If the
// membership allows halves, that must hold for the electorates of every replica.
func (cluster *cluster) survives(wiped *machine) bool {
	intact, voters := cluster.intactVoters()
	members := cluster.members()
	if !members.CountsLost {
		if members.IsVoter(wiped.disk.id) {
			intact--
		}
		return intact >= voters/2+1
	}
	isIntact := func(id ReplicaID) bool { return id != wiped.disk.id && cluster.isIntact(id) }
	isLost := func(id ReplicaID) bool { return !isIntact(id) }
	for _, machine := range cluster.machines {
		if machine.node == nil {
			return false
		}
		if len(machine.node.members().Voters) > 0 && !machine.node.isQuorum(isIntact, isLost) {
			return false
		}
	}
	return members.isQuorum(isIntact, isLost)
}

// members returns the last membership that a replica applied or stored in a snapshot.
func (cluster *cluster) members() Membership {
	members := Membership{}
	var newest Index
	for _, machine := range cluster.machines {
		if machine.disk.snapshot.Index >= newest {
			newest, members = machine.disk.snapshot.Index, machine.disk.snapshot.Membership
		}
	}
	for index, entry := range cluster.applied {
		if entry.Type == EntryMembership && index > newest {
			newest = index
			members, _ = DecodeMembership(entry.Data)
		}
	}
	return members
}

// wipe stops a VM and replaces its disk by an empty one, unless fewer than a quorum
// of voters would keep their disks.
func (cluster *cluster) wipe(machine *machine) {
	if !cluster.survives(machine) {
		return
	}
	cluster.wipeCount++
	machine.node = nil
	machine.disk = disk{id: ReplicaID{machine.disk.id.VM, core.Incarnation(fmt.Sprint(cluster.wipeCount))}}
}

// reconcileMembership lets the leader add new replicas as learners and promote learners
// to voters.
func (cluster *cluster) reconcileMembership() {
	leader := cluster.leader()
	if leader == nil {
		return
	}
	members := leader.node.Status().Membership
	for _, machine := range cluster.machines {
		id := machine.disk.id
		switch {
		case members.IsVoter(id) || machine.node == nil:
		case members.IsLearner(id):
			commit := leader.node.Status().Commit
			if _, err := leader.node.Promote(id); err == nil && !machine.disk.supports(Message{Type: AppendReply, LogIndex: commit}) {
				cluster.fail("%s is promoted to voter without the committed entry %d", id, commit)
			}
		default:
			_, _ = leader.node.AddLearner(id, true)
		}
	}
	cluster.processReady(leader, noCrash)
}

// stabilize runs the cluster without faults until every VM is a voter and has applied
// the same commands. It returns false if that takes more than 400 ticks.
func (cluster *cluster) stabilize() bool {
	cluster.heal()
	for _, machine := range cluster.machines {
		cluster.start(machine)
		cluster.processReady(machine, noCrash)
	}
	for range 400 {
		for _, machine := range cluster.machines {
			cluster.tick(machine)
			for _, other := range cluster.machines {
				inFlight := len(cluster.polls)
				cluster.ask(machine, other)
				if len(cluster.polls) > inFlight {
					cluster.answer(inFlight)
				}
			}
		}
		for range len(cluster.network) {
			cluster.deliver(0, false, noCrash)
		}
		cluster.reconcileMembership()
		if cluster.hasConverged() {
			return true
		}
	}
	return false
}

// hasConverged reports whether every VM is a voter and has applied the leader's log.
func (cluster *cluster) hasConverged() bool {
	leader := cluster.leader()
	if leader == nil || !leader.node.Status().CommittedInTerm {
		return false
	}
	for _, machine := range cluster.machines {
		isVoter := leader.node.Status().Membership.IsVoter(machine.disk.id)
		if !isVoter || machine.appliedIndex != leader.node.Status().Last || !slices.Equal(machine.applied, leader.applied) {
			return false
		}
	}
	return len(cluster.applied) == 0 || int(leader.appliedIndex) >= len(cluster.applied)
}
