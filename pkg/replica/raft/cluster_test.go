package raft

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// disk is what a replica has synced.
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
	// applied is the state machine: the data of every applied command.
	applied []string
	at      Index
	// side is the part of a partition that the VM is in.
	side int
}

// crashPoint is a step of the work of a Ready before which a VM may stop.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync
	beforeApply
)

// cluster runs replicas over a network that may lose, repeat and reorder messages,
// and checks the safety of the log after every step.
type cluster struct {
	machines []*machine
	network  []Message
	leaders  map[Term]ReplicaID
	// chain holds every entry that some replica applied.
	chain map[Index]Entry
	wipes int
	seeds uint64
	// proposed numbers the commands, so that each has other content.
	proposed int
	fail     func(format string, args ...any)
}

func newCluster(size int, fail func(string, ...any)) *cluster {
	cluster := &cluster{leaders: make(map[Term]ReplicaID), chain: make(map[Index]Entry), fail: fail}
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

func (cluster *cluster) start(machine *machine) {
	if machine.node != nil {
		return
	}
	cluster.seeds++
	machine.node = New(Config{
		ID: machine.disk.id, ElectionTicks: 5, HeartbeatTicks: 1, Seed: cluster.seeds,
		MaxBatchBytes: 16, MaxInFlight: 8, KeepEntries: 3,
	}, Restored{HardState: machine.disk.hard, Snapshot: machine.disk.snapshot, Entries: slices.Clone(machine.disk.entries)})
	machine.load(machine.disk.snapshot)
}

func (machine *machine) load(snapshot Snapshot) {
	machine.applied, machine.at = nil, snapshot.Index
	if len(snapshot.Data) > 0 {
		machine.applied = strings.Split(string(snapshot.Data), ",")
	}
}

// work does the work of a Ready, and stops the VM before the given step.
func (cluster *cluster) work(machine *machine, crash crashPoint) {
	for machine.node != nil && machine.node.HasReady() {
		ready := machine.node.Ready()
		cluster.transmit(machine, ready.Early)
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

// backs reports whether the disk holds what a message promises.
func (disk *disk) backs(message Message) bool {
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
		if !machine.disk.backs(message) {
			cluster.fail("%s sends a %s for term %d and index %d before its disk has them", machine.disk.id, message.Type, message.Term, message.LogIndex)
		}
		if message.Type == InstallSnapshot {
			filled := machine.disk.snapshot
			message.Snapshot = &filled
		}
		cluster.network = append(cluster.network, message)
	}
}

func (cluster *cluster) apply(machine *machine, ready Ready) {
	if ready.Snapshot != nil {
		machine.load(*ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		if entry.Index != machine.at+1 {
			cluster.fail("%s applies entry %d after entry %d", machine.disk.id, entry.Index, machine.at)
		}
		known, ok := cluster.chain[entry.Index]
		if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
			cluster.fail("%s applies %d/%d %q, but %d/%d %q was applied", machine.disk.id, entry.Index, entry.Term, entry.Data, known.Index, known.Term, known.Data)
		}
		cluster.chain[entry.Index] = entry
		machine.at = entry.Index
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
	known, ok := cluster.leaders[status.Term]
	if ok && known != status.ID {
		cluster.fail("term %d has the leaders %s and %s", status.Term, known, status.ID)
	}
	cluster.leaders[status.Term] = status.ID
}

// deliver hands over one message of the network. It stays on its way if keep is
// set.
func (cluster *cluster) deliver(place int, keep bool, crash crashPoint) {
	message := cluster.network[place]
	if !keep {
		cluster.network = slices.Delete(cluster.network, place, place+1)
	}
	from := cluster.machine(message.From.VM)
	for _, machine := range cluster.machines {
		if machine.disk.id.VM == message.To.VM && machine.node != nil && machine.side == from.side {
			machine.node.Step(message)
			cluster.work(machine, crash)
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

func (cluster *cluster) heal() {
	for _, machine := range cluster.machines {
		machine.side = 0
	}
}

// propose gives a command to every leader, also to one that was deposed and does
// not know it.
func (cluster *cluster) propose(machine *machine, crash crashPoint) {
	for _, other := range cluster.machines {
		if other.node == nil || other.node.Status().Role != Leader {
			continue
		}
		cluster.proposed++
		_, _, _ = other.node.Propose([]byte(fmt.Sprint(cluster.proposed)))
		if other == machine {
			cluster.work(other, crash)
		} else {
			cluster.work(other, noCrash)
		}
	}
}

func (cluster *cluster) tick(machine *machine) {
	if machine.node != nil {
		machine.node.Tick()
		cluster.work(machine, noCrash)
	}
}

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

// compact stores a snapshot and tells the node.
func (cluster *cluster) compact(machine *machine) {
	if machine.node == nil {
		return
	}
	snapshot, ok := machine.node.Compact(machine.at)
	if !ok {
		return
	}
	snapshot.Data = []byte(strings.Join(machine.applied, ","))
	machine.disk.snapshot = snapshot
	machine.disk.entries = slices.DeleteFunc(machine.disk.entries, func(entry Entry) bool { return entry.Index <= snapshot.Index })
}

// intact counts the voters of the last applied membership whose disk was not lost.
func (cluster *cluster) intact() (intact, voters int) {
	members := cluster.members()
	for _, machine := range cluster.machines {
		if members.IsVoter(machine.disk.id) {
			intact++
		}
	}
	return intact, len(members.Voters)
}

func (cluster *cluster) members() Membership {
	members := Membership{}
	var at Index
	for _, machine := range cluster.machines {
		if machine.disk.snapshot.Index >= at {
			at, members = machine.disk.snapshot.Index, machine.disk.snapshot.Membership
		}
	}
	for index, entry := range cluster.chain {
		if entry.Type == EntryMembership && index > at {
			at = index
			members, _ = DecodeMembership(entry.Data)
		}
	}
	return members
}

// wipe replaces the disk of a VM by an empty one, as long as a majority of voters
// keeps its disk.
func (cluster *cluster) wipe(machine *machine) {
	intact, voters := cluster.intact()
	lost := 0
	if cluster.members().IsVoter(machine.disk.id) {
		lost = 1
	}
	if intact-lost < voters/2+1 {
		return
	}
	cluster.wipes++
	machine.node = nil
	machine.disk = disk{id: ReplicaID{machine.disk.id.VM, core.Incarnation(fmt.Sprint(cluster.wipes))}}
}

// manage lets the leader take in the VMs whose replica is new.
func (cluster *cluster) manage() {
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
			if _, err := leader.node.Promote(id); err == nil && !machine.disk.backs(Message{Type: AppendReply, LogIndex: commit}) {
				cluster.fail("%s gets a vote without entry %d", id, commit)
			}
		default:
			_, _ = leader.node.AddLearner(id)
		}
	}
	cluster.work(leader, noCrash)
}

// settle runs the cluster without faults until every VM is a voter and has applied
// the same commands, and returns false if that does not happen.
func (cluster *cluster) settle() bool {
	cluster.heal()
	for _, machine := range cluster.machines {
		cluster.start(machine)
		cluster.work(machine, noCrash)
	}
	for range 400 {
		for _, machine := range cluster.machines {
			cluster.tick(machine)
		}
		for range len(cluster.network) {
			cluster.deliver(0, false, noCrash)
		}
		cluster.manage()
		if cluster.agrees() {
			return true
		}
	}
	return false
}

func (cluster *cluster) agrees() bool {
	leader := cluster.leader()
	if leader == nil || !leader.node.Status().Settled {
		return false
	}
	for _, machine := range cluster.machines {
		isVoter := leader.node.Status().Membership.IsVoter(machine.disk.id)
		if !isVoter || machine.at != leader.node.Status().Last || !slices.Equal(machine.applied, leader.applied) {
			return false
		}
	}
	return len(cluster.chain) == 0 || int(leader.at) >= len(cluster.chain)
}
