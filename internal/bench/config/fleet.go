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
	zones         = 8
	modelsPerZone = 6
	// lossRate is the part of the messages that is lost.
	lossRate = 0.01
	// delay is the one-way delay between zones.
	delay = 1500 * time.Microsecond
	// commitDelay is the time of one round among the replicas.
	commitDelay = 2 * delay
	// headers are those of IP and TCP (40 bytes), yamux (12) and the length of the
	// message (4).
	headers = 56
	// consentTimeout is that of package session.
	consentTimeout = 200 * time.Millisecond
	leaderInterval = 100 * time.Millisecond
	leaderVM       = core.VMID("leader")
)

// node is one VM with its counters.
type node struct {
	*session.Node
	vm     core.VMID
	zone   int
	wanted []lease.Demand
	cut    bool
	// bytes and messages are those sent and received, spent the time in its code.
	bytes    int
	messages int
	spent    time.Duration
}

// fleet is the leader and all nodes.
type fleet struct {
	events
	// random decides about the messages, faults about changes and cuts, so that these
	// are the same for every way.
	random    *rand.Rand
	faults    *rand.Rand
	state     *ledger.State
	index     uint64
	authority *session.Authority
	nodes     []*node
	byName    map[core.VMID]*node
	leader    node
	watch     *watch
}

// newFleet returns a fleet whose nodes start within one interval.
func newFleet(size int, seed uint64, techniques lease.Techniques) *fleet {
	fleet := &fleet{
		events: events{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		random: rand.New(rand.NewPCG(seed, uint64(size))),
		faults: rand.New(rand.NewPCG(seed, uint64(size))),
		state:  ledger.New(ledger.Limits{}),
		byName: make(map[core.VMID]*node),
	}
	budget := lease.Budget{Loads: 7, Transit: 96, Zones: zones, GroupsPerZone: modelsPerZone}
	fleet.authority = session.NewAuthority(fleet.now, leaderVM, 1, budget, techniques)
	for i := range size {
		fleet.add(i, size, budget)
	}
	fleet.watch = newWatch(fleet)
	fleet.every(0, leaderInterval, fleet.lead)
	return fleet
}

func (fleet *fleet) add(i, size int, budget lease.Budget) {
	one := &node{vm: core.VMID(fmt.Sprintf("vm-%d", i)), zone: i % zones}
	var others []core.VMID
	for other := one.zone; other < size; other += zones {
		if other != i {
			others = append(others, core.VMID(fmt.Sprintf("vm-%d", other)))
		}
	}
	zone := core.ZoneID(fmt.Sprintf("zone-%d", one.zone))
	// Two VMs of the zone hear of the upstreams of each group. The engines check no
	// tokens: a takeover changes the directory after a cut, and the push of that change
	// would carry the missed lists too.
	if rank := i / zones; rank < 2*modelsPerZone {
		group := core.GroupID{Zone: zone, Kind: core.EngineGroup, Name: fmt.Sprintf("model-%d", rank%modelsPerZone)}
		one.wanted = []lease.Demand{{Group: group, Wanted: true, Loads: 1}}
	}
	one.Node = session.NewNode(fleet.now, lease.Member{VM: one.vm, Incarnation: "1"}, zone, others, budget)
	fleet.nodes = append(fleet.nodes, one)
	fleet.byName[one.vm] = one
	offset := time.Duration(fleet.random.Int64N(int64(lease.Interval)))
	fleet.every(offset, lease.Interval, func() { fleet.renew(one) })
	fleet.every(offset/2, lease.Interval/2, func() { fleet.rounds(one) })
}

// measured runs the code of a node and adds its time.
func (one *node) measured(run func()) {
	before := time.Now()
	run()
	one.spent += time.Since(before)
}

// send encodes a message and delivers its decoded copy to the other node, unless it
// is lost. Both nodes count its bytes and the time of the encoding.
func (fleet *fleet) send(from, to *node, message proto.Message, deliver func(message proto.Message)) {
	var data []byte
	from.measured(func() { data, _ = proto.Marshal(message) })
	from.bytes += len(data) + headers
	from.messages++
	if from.cut != to.cut || fleet.random.Float64() < lossRate {
		return
	}
	fleet.after(delay, func() {
		to.bytes += len(data) + headers
		to.messages++
		copied := message.ProtoReflect().New().Interface()
		to.measured(func() { _ = proto.Unmarshal(data, copied) })
		deliver(copied)
	})
}

func (fleet *fleet) renew(one *node) {
	var request *wire.Request
	one.measured(func() {
		request = &wire.Request{Body: &wire.Request_Renew{Renew: one.Renewal(fleet.now, one.wanted)}}
	})
	fleet.send(one, &fleet.leader, request, func(message proto.Message) { fleet.renewed(one, message.(*wire.Request).GetRenew()) })
}

// renewed is the leader's part. It answers after a round of the replicas.
func (fleet *fleet) renewed(one *node, renewal *wire.Renew) {
	var grant lease.Grant
	fleet.leader.measured(func() { grant = fleet.authority.Renewed(fleet.now, renewal) })
	fleet.after(commitDelay, func() {
		var result *wire.RenewResult
		fleet.leader.measured(func() {
			reading := session.Read(fleet.state, fleet.authority.Seen(), core.ConfigNumber(renewal.GetConfigNumber()))
			result = fleet.authority.Answer(renewal, grant, reading)
		})
		response := &wire.Response{Body: &wire.Response_RenewResult{RenewResult: result}}
		fleet.send(&fleet.leader, one, response, func(message proto.Message) {
			one.measured(func() { _ = one.Answered(fleet.now, message.(*wire.Response).GetRenewResult()) })
			fleet.watch.saw(one)
		})
	})
}

// rounds asks the other nodes of the zone.
func (fleet *fleet) rounds(one *node) {
	var rounds []session.Round
	one.measured(func() { rounds = one.Rounds(fleet.now, one.wanted) })
	for _, round := range rounds {
		replies := &lease.Replies{}
		for _, other := range round.Others() {
			fleet.ask(one, fleet.byName[other], round, replies)
		}
		fleet.after(consentTimeout, func() {
			replies.Unreachable = len(round.Others()) - len(replies.Granted) - replies.Refused
			one.measured(func() { one.Finish(fleet.now, round, *replies) })
		})
	}
}

func (fleet *fleet) ask(one, other *node, round session.Round, replies *lease.Replies) {
	fleet.send(one, other, round.Message(), func(message proto.Message) {
		var result *wire.ConsentResult
		other.measured(func() { result = other.Consent(fleet.now, message.(*wire.Request).GetConsent()) })
		response := &wire.Response{Body: &wire.Response_ConsentResult{ConsentResult: result}}
		fleet.send(other, one, response, func(message proto.Message) {
			if message.(*wire.Response).GetConsentResult().GetGranted() {
				replies.Granted = append(replies.Granted, other.vm)
			} else {
				replies.Refused++
			}
		})
	})
}

// lead is one look of the leader at its table.
func (fleet *fleet) lead() {
	var assigns []ledger.Assign
	var due []lease.Push
	fleet.leader.measured(func() {
		fleet.authority.Observe(session.Read(fleet.state, fleet.authority.Seen(), ^core.ConfigNumber(0)))
		assigns = fleet.authority.Tick(fleet.now)
		due = fleet.authority.Due(fleet.now)
	})
	for _, assign := range assigns {
		fleet.after(commitDelay, func() { fleet.apply(ledger.Command{Assign: &assign}) })
	}
	for _, push := range due {
		fleet.push(push)
	}
}

func (fleet *fleet) push(push lease.Push) {
	one := fleet.byName[push.VM]
	var request *wire.Request
	fleet.leader.measured(func() {
		reading := session.Read(fleet.state, fleet.authority.Seen(), push.Has.Config)
		request = &wire.Request{Body: &wire.Request_Push{Push: fleet.authority.Push(push, reading)}}
	})
	fleet.send(&fleet.leader, one, request, func(message proto.Message) {
		var result *wire.PushResult
		one.measured(func() { result, _ = one.Pushed(fleet.now, message.(*wire.Request).GetPush()) })
		fleet.watch.saw(one)
		response := &wire.Response{Body: &wire.Response_PushResult{PushResult: result}}
		fleet.send(one, &fleet.leader, response, func(message proto.Message) {
			fleet.leader.measured(func() {
				fleet.authority.Acknowledged(push.Member, message.(*wire.Response).GetPushResult())
			})
		})
	})
}

// apply commits a command and lets the leader see it.
func (fleet *fleet) apply(command ledger.Command) ledger.Result {
	fleet.index++
	command.At = fleet.now.UnixMilli()
	result := fleet.state.Apply(fleet.index, command)
	fleet.lead()
	return result
}
