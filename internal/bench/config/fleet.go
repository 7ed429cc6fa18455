package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelionring/dandelionring/internal/session"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	zoneCount     = 8
	modelsPerZone = 6
	// lossRate is the fraction of messages that the network loses.
	lossRate = 0.01
	// linkDelay is the one-way delay between zones; it applies to messages within a zone
	// too.
	linkDelay = 1500 * time.Microsecond
	// commitDelay is the time of one round trip between the replicas.
	commitDelay = 2 * linkDelay
	// headerBytes is the overhead of a message: the IP and TCP headers (40 bytes), the
	// yamux header (12) and the length prefix (4).
	headerBytes = 56
	// consentTimeout is the same as in package session.
	consentTimeout     = 200 * time.Millisecond
	leaderTickInterval = 100 * time.Millisecond
	leaderVM           = core.VMID("leader")
)

// simulatedNode is a simulated VM and its counters.
type simulatedNode struct {
	*session.Node
	vm          core.VMID
	zone        int
	demands     []lease.Demand
	partitioned bool
	// bytes and messages count what the node sent and received. busyTime is the wall-clock
	// time that its code took.
	bytes    int
	messages int
	busyTime time.Duration
}

// simulation holds the leader, all nodes and the simulated network between them.
type simulation struct {
	eventQueue
	// messageRandom decides which messages are lost and when nodes start. faultRandom
	// selects the changed plans and the partitioned nodes; it is separate so that these are
	// the same in every variant.
	messageRandom *rand.Rand
	faultRandom   *rand.Rand
	state         *ledger.State
	commitIndex   uint64
	authority     *session.Authority
	nodes         []*simulatedNode
	nodesByVM     map[core.VMID]*simulatedNode
	leader        simulatedNode
	recorder      *updateRecorder
}

// newSimulation returns a simulation with the given number of nodes, whose first renewals
// are spread over one renewal interval.
func newSimulation(size int, seed uint64, options lease.DeliveryOptions) *simulation {
	sim := &simulation{
		eventQueue:    eventQueue{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		messageRandom: rand.New(rand.NewPCG(seed, uint64(size))),
		faultRandom:   rand.New(rand.NewPCG(seed, uint64(size))),
		state:         ledger.New(ledger.Limits{}),
		nodesByVM:     make(map[core.VMID]*simulatedNode),
	}
	budget := lease.Budget{Loads: 7, Transit: 96, Zones: zoneCount, GroupsPerZone: modelsPerZone}
	sim.authority = session.NewAuthority(sim.now, leaderVM, 1, budget, options)
	for i := range size {
		sim.addNode(i, size, budget)
	}
	sim.recorder = newUpdateRecorder(sim)
	sim.scheduleEvery(0, leaderTickInterval, sim.leaderTick)
	return sim
}

// addNode adds node i and schedules its renewals and consent rounds.
func (sim *simulation) addNode(i, size int, budget lease.Budget) {
	node := &simulatedNode{vm: core.VMID(fmt.Sprintf("vm-%d", i)), zone: i % zoneCount}
	var peers []core.VMID
	for other := node.zone; other < size; other += zoneCount {
		if other != i {
			peers = append(peers, core.VMID(fmt.Sprintf("vm-%d", other)))
		}
	}
	zone := core.ZoneID(fmt.Sprintf("zone-%d", node.zone))
	// Two VMs of the zone receive announcements from the upstreams of each group. The
	// simulated engines do not check fencing tokens. If they did, takeovers would change the
	// directory after a partition, and the push of that change would deliver the missed
	// lists too.
	if rank := i / zoneCount; rank < 2*modelsPerZone {
		group := core.GroupID{Zone: zone, Kind: core.EngineGroup, Name: fmt.Sprintf("model-%d", rank%modelsPerZone)}
		node.demands = []lease.Demand{{Group: group, Wanted: true, Loads: 1}}
	}
	node.Node = session.NewNode(sim.now, lease.Member{VM: node.vm, Incarnation: "1"}, zone, peers, budget)
	sim.nodes = append(sim.nodes, node)
	sim.nodesByVM[node.vm] = node
	offset := time.Duration(sim.messageRandom.Int64N(int64(lease.Interval)))
	sim.scheduleEvery(offset, lease.Interval, func() { sim.renew(node) })
	sim.scheduleEvery(offset/2, lease.Interval/2, func() { sim.startRounds(node) })
}

// timed calls run and adds its wall-clock time to the busy time of the node.
func (node *simulatedNode) timed(run func()) {
	before := time.Now()
	run()
	node.busyTime += time.Since(before)
}

// send encodes a message and delivers a decoded copy to the other node after linkDelay.
// The message is lost with probability lossRate, and always if only one of the two nodes
// is partitioned. The sender counts the message and the encoding time; the receiver
// counts a delivered message and the decoding time.
func (sim *simulation) send(from, to *simulatedNode, message proto.Message, deliver func(message proto.Message)) {
	var data []byte
	from.timed(func() { data, _ = proto.Marshal(message) })
	from.bytes += len(data) + headerBytes
	from.messages++
	if from.partitioned != to.partitioned || sim.messageRandom.Float64() < lossRate {
		return
	}
	sim.schedule(linkDelay, func() {
		to.bytes += len(data) + headerBytes
		to.messages++
		decoded := message.ProtoReflect().New().Interface()
		to.timed(func() { _ = proto.Unmarshal(data, decoded) })
		deliver(decoded)
	})
}

// renew sends a session renewal from the node to the leader.
func (sim *simulation) renew(node *simulatedNode) {
	var request *wire.Request
	node.timed(func() {
		request = &wire.Request{Body: &wire.Request_Renew{Renew: node.Renewal(sim.now, node.demands)}}
	})
	sim.send(node, &sim.leader, request, func(message proto.Message) { sim.handleRenewal(node, message.(*wire.Request).GetRenew()) })
}

// handleRenewal processes a renewal on the leader and sends the response after
// commitDelay.
func (sim *simulation) handleRenewal(node *simulatedNode, renewal *wire.Renew) {
	var grant lease.Grant
	sim.leader.timed(func() { grant = sim.authority.RecordRenewal(sim.now, renewal) })
	sim.schedule(commitDelay, func() {
		var result *wire.RenewResult
		sim.leader.timed(func() {
			reading := session.ReadState(sim.state, sim.authority.SeenDirectory(), core.ConfigNumber(renewal.GetConfigNumber()))
			result = sim.authority.RenewResult(renewal, grant, reading)
		})
		response := &wire.Response{Body: &wire.Response_RenewResult{RenewResult: result}}
		sim.send(&sim.leader, node, response, func(message proto.Message) {
			node.timed(func() { _ = node.ApplyAnswer(sim.now, message.(*wire.Response).GetRenewResult()) })
			sim.recorder.recordUpdates(node)
		})
	})
}

// startRounds starts the consent rounds that are due on the node and finishes each of
// them after consentTimeout.
func (sim *simulation) startRounds(node *simulatedNode) {
	var rounds []session.Round
	node.timed(func() { rounds = node.Rounds(sim.now, node.demands) })
	for _, round := range rounds {
		replies := &lease.Replies{}
		for _, other := range round.Peers() {
			sim.requestConsent(node, sim.nodesByVM[other], round, replies)
		}
		sim.schedule(consentTimeout, func() {
			replies.Unreachable = len(round.Peers()) - len(replies.Granted) - replies.Refused
			node.timed(func() { node.ApplyReplies(sim.now, round, *replies) })
		})
	}
}

// requestConsent asks one peer for its consent and adds its reply to replies.
func (sim *simulation) requestConsent(node, other *simulatedNode, round session.Round, replies *lease.Replies) {
	sim.send(node, other, round.WireRequest(), func(message proto.Message) {
		var result *wire.ConsentResult
		other.timed(func() { result = other.Consent(sim.now, message.(*wire.Request).GetConsent()) })
		response := &wire.Response{Body: &wire.Response_ConsentResult{ConsentResult: result}}
		sim.send(other, node, response, func(message proto.Message) {
			if message.(*wire.Response).GetConsentResult().GetGranted() {
				replies.Granted = append(replies.Granted, other.vm)
			} else {
				replies.Refused++
			}
		})
	})
}

// leaderTick runs one periodic step of the leader: it reads the state, schedules the due
// ownership assignments and sends the due pushes.
func (sim *simulation) leaderTick() {
	var assignments []ledger.Assign
	var due []lease.Push
	sim.leader.timed(func() {
		sim.authority.Observe(session.ReadState(sim.state, sim.authority.SeenDirectory(), ^core.ConfigNumber(0)))
		assignments = sim.authority.DueAssignments(sim.now)
		due = sim.authority.DuePushes(sim.now)
	})
	for _, assign := range assignments {
		sim.schedule(commitDelay, func() { sim.commit(ledger.Command{Assign: &assign}) })
	}
	for _, push := range due {
		sim.sendPush(push)
	}
}

// sendPush sends a push from the leader to a node and the result back to the leader.
func (sim *simulation) sendPush(push lease.Push) {
	node := sim.nodesByVM[push.VM]
	var request *wire.Request
	sim.leader.timed(func() {
		reading := session.ReadState(sim.state, sim.authority.SeenDirectory(), push.Has.Config)
		request = &wire.Request{Body: &wire.Request_Push{Push: sim.authority.PushMessage(push, reading)}}
	})
	sim.send(&sim.leader, node, request, func(message proto.Message) {
		var result *wire.PushResult
		node.timed(func() { result, _ = node.ApplyPush(sim.now, message.(*wire.Request).GetPush()) })
		sim.recorder.recordUpdates(node)
		response := &wire.Response{Body: &wire.Response_PushResult{PushResult: result}}
		sim.send(node, &sim.leader, response, func(message proto.Message) {
			sim.leader.timed(func() {
				sim.authority.RecordAcknowledgment(push.Member, message.(*wire.Response).GetPushResult())
			})
		})
	})
}

// commit applies a command to the state and runs a leader tick.
func (sim *simulation) commit(command ledger.Command) ledger.Result {
	sim.commitIndex++
	command.At = sim.now.UnixMilli()
	result := sim.state.Apply(sim.commitIndex, command)
	sim.leaderTick()
	return result
}
