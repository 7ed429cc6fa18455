package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"pgregory.net/rapid"
)

// simulation models one zone of VMs, a sequence of leaders, and a network that loses,
// delays and reorders messages. Its clock advances only in advance.
type simulation struct {
	t                 *rapid.T
	now               time.Time
	budget            Budget
	vms               map[core.VMID]*simulatedVM
	leader            *Leader
	term              int
	index             uint64
	owners            Owners
	blockedToLeader   map[core.VMID]bool
	blockedFromLeader map[core.VMID]bool
	partitioned       map[[2]core.VMID]bool
	delayed           []func()
	// proposed holds the assignments of the leader that are not applied yet.
	proposed []ledger.Assign
	// engineTokens holds the largest token that the engines of each group have received.
	engineTokens map[core.GroupID]core.FencingToken
	highestHeld  map[core.GroupID]core.FencingToken
	issued       map[issuedToken]Member
	incarnations int
}

// issuedToken is a token that some VM has held.
type issuedToken struct {
	group core.GroupID
	token core.FencingToken
}

type simulatedVM struct {
	holder    *Holder
	suspended bool
	demands   []Demand
}

var (
	unfencedGroup = core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "plain"}
	fencedGroup   = core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "fenced"}
	startTime     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func newSimulation(t *rapid.T) *simulation {
	simulation := &simulation{
		t: t, now: startTime, budget: Budget{Loads: 7, Transit: 9, Zones: 1, GroupsPerZone: 2},
		vms: make(map[core.VMID]*simulatedVM), owners: make(Owners),
		blockedToLeader: make(map[core.VMID]bool), blockedFromLeader: make(map[core.VMID]bool), partitioned: make(map[[2]core.VMID]bool),
		engineTokens: make(map[core.GroupID]core.FencingToken), highestHeld: make(map[core.GroupID]core.FencingToken),
		issued: make(map[issuedToken]Member),
	}
	simulation.elect()
	for i := range rapid.IntRange(1, 3).Draw(t, "vms") {
		simulation.startVM(core.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return simulation
}

func (simulation *simulation) startVM(vm core.VMID) {
	simulation.incarnations++
	self := Member{vm, core.Incarnation(fmt.Sprint(simulation.incarnations))}
	started := &simulatedVM{holder: NewHolder(simulation.now, self, simulation.budget, simulation.vmIDs()...)}
	started.demands = []Demand{{Group: unfencedGroup, Wanted: true, Loads: 1}, {Group: fencedGroup, Wanted: true, Loads: 2, ChecksFencing: true}}
	simulation.vms[vm] = started
}

func (simulation *simulation) vmIDs() []core.VMID {
	return slices.Sorted(maps.Keys(simulation.vms))
}

// elect starts the term of a new leader. Each proposal of the previous term is either
// applied or lost before that.
func (simulation *simulation) elect() {
	for _, assign := range simulation.proposed {
		if rapid.Bool().Draw(simulation.t, "apply proposal") {
			simulation.apply(assign)
		}
	}
	simulation.proposed = nil
	simulation.term++
	simulation.leader = NewLeader(simulation.now, simulation.budget)
}

func (simulation *simulation) apply(assign ledger.Assign) {
	simulation.index++
	if simulation.owners[assign.Group].Token != assign.Previous {
		return
	}
	owners := maps.Clone(simulation.owners)
	owners[assign.Group] = ledger.Ownership{
		Group: assign.Group, VM: assign.VM, Incarnation: assign.Incarnation,
		Token: core.FencingToken(simulation.index << ledger.FencingShift), ZoneHash: assign.ZoneHash,
	}
	simulation.owners = owners
}

// deliver drops the message, handles it now, or queues it for a later step, where it may
// be handled after any other message.
func (simulation *simulation) deliver(message func()) {
	switch rapid.IntRange(0, 9).Draw(simulation.t, "delivery") {
	case 0:
	case 1, 2:
		simulation.delayed = append(simulation.delayed, message)
	default:
		message()
	}
}

func (simulation *simulation) renew(vm core.VMID) {
	sender := simulation.vms[vm]
	sequence, answered := sender.holder.BeginRenewal(simulation.now)
	renewal := Renewal{
		Member: sender.holder.self, Zone: "a", Sequence: sequence, Answered: answered,
		Draining: sender.holder.Draining(), Demands: simulation.demandsOf(sender),
	}
	renewal.ZoneHash, renewal.Strangers = sender.holder.ZoneStatus()
	if !simulation.blockedToLeader[vm] {
		simulation.deliver(func() { simulation.receive(sender, renewal) })
	}
}

// demandsOf passes the tokens of the engines to a VM and returns its demands.
func (simulation *simulation) demandsOf(simulated *simulatedVM) []Demand {
	demands := slices.Clone(simulated.demands)
	for i, demand := range demands {
		simulated.holder.ObserveToken(demand.Group, simulation.engineTokens[demand.Group])
		demands[i].Seen = simulated.holder.HighestToken(demand.Group)
	}
	return demands
}

// receive handles a renewal at the leader and sends the answer. The leader is always
// that of the newest term, because only that one can confirm its leadership.
func (simulation *simulation) receive(sender *simulatedVM, renewal Renewal) {
	grant := simulation.leader.Renew(simulation.now, renewal, simulation.owners)
	owners, number := simulation.owners, simulation.index
	answer := Answer{Sequence: renewal.Sequence, Granted: grant.Granted, Length: Length, Directory: number, Share: grant.Share}
	if simulation.blockedFromLeader[renewal.VM] {
		return
	}
	simulation.deliver(func() {
		if !sender.suspended && simulation.vms[renewal.VM] == sender {
			sender.holder.UpdateOwners(number, owners)
			sender.holder.HandleAnswer(simulation.now, answer)
		}
	})
}

func (simulation *simulation) tick() {
	simulation.proposed = append(simulation.proposed, simulation.leader.Tick(simulation.now, simulation.owners)...)
}

func (simulation *simulation) commit() {
	if len(simulation.proposed) > 0 {
		simulation.apply(simulation.proposed[0])
		simulation.proposed = simulation.proposed[1:]
	}
}

// poll sends a round to the other VMs. The replies are passed to done now or later, or
// are lost.
func (simulation *simulation) poll(sender *simulatedVM, round ConsentRound, done func(Replies)) {
	var replies Replies
	for _, other := range round.Peers() {
		target, ok := simulation.vms[other]
		switch {
		case !ok || target.suspended || simulation.partitioned[pair(sender.holder.self.VM, other)]:
			replies.Unreachable++
		default:
			if granted, _ := target.holder.Consent(simulation.now, round.ConsentRequest); !granted {
				replies.Refused++
			} else if rapid.IntRange(0, 9).Draw(simulation.t, "reply") == 0 {
				replies.Unreachable++
			} else {
				replies.Granted = append(replies.Granted, other)
			}
		}
	}
	simulation.deliver(func() {
		if !sender.suspended && simulation.vms[sender.holder.self.VM] == sender {
			done(replies)
		}
	})
}

// runZoneProtocol runs the rounds of a VM with the other VMs of the zone that are due.
func (simulation *simulation) runZoneProtocol(vm core.VMID) {
	vmState := simulation.vms[vm]
	simulation.demandsOf(vmState)
	if round, ok := vmState.holder.BeginIntroduction(simulation.now); ok {
		simulation.poll(vmState, round, func(replies Replies) { vmState.holder.FinishIntroduction(simulation.now, replies) })
	}
	if round, ok := vmState.holder.BeginExtension(simulation.now); ok {
		simulation.poll(vmState, round, func(replies Replies) { vmState.holder.FinishExtension(simulation.now, round, replies) })
	}
	for _, demand := range vmState.demands {
		if round, ok := vmState.holder.BeginTakeover(simulation.now, demand); ok {
			simulation.poll(vmState, round, func(replies Replies) { vmState.holder.FinishTakeover(simulation.now, round, replies) })
		}
	}
}

func pair(a, b core.VMID) [2]core.VMID {
	return [2]core.VMID{min(a, b), max(a, b)}
}

// checkInvariants fails the test if two VMs hold the group whose engines do not check
// tokens, if the token of that group decreases, if a token of any group is held by two
// VMs, or if the sum of the shares exceeds the budget.
func (simulation *simulation) checkInvariants() {
	used := Share{}
	for _, group := range []core.GroupID{unfencedGroup, fencedGroup} {
		holders := 0
		for _, vm := range simulation.vmIDs() {
			token, _, held := simulation.vms[vm].holder.Held(simulation.now, group)
			if !held {
				continue
			}
			holders++
			if group == unfencedGroup && token < simulation.highestHeld[group] {
				simulation.t.Fatalf("%s holds %s with token %x after %x", vm, group, token, simulation.highestHeld[group])
			}
			if token > simulation.highestHeld[group] {
				simulation.highestHeld[group] = token
			}
			self := simulation.vms[vm].holder.self
			if first, ok := simulation.issued[issuedToken{group, token}]; ok && first.VM != self.VM {
				simulation.t.Fatalf("%v and %v hold %s with the same token %x", first, self, group, token)
			}
			simulation.issued[issuedToken{group, token}] = self
			simulation.sendCommand(group, token)
		}
		if group == unfencedGroup && holders > 1 {
			simulation.t.Fatalf("%d VMs hold %s at %s", holders, group, simulation.now.Sub(startTime))
		}
	}
	for _, vm := range simulation.vmIDs() {
		used = used.plus(simulation.vms[vm].holder.Share(simulation.now))
	}
	if used.Loads > simulation.budget.Loads+1e-9 || used.Transit > simulation.budget.Transit {
		simulation.t.Fatalf("shares add up to %v of %v", used, simulation.budget)
	}
}

// sendCommand sometimes makes the engines of the fenced group record the token, as a
// command of the owner would.
func (simulation *simulation) sendCommand(group core.GroupID, token core.FencingToken) {
	if group == fencedGroup && rapid.IntRange(0, 3).Draw(simulation.t, "send command") == 0 {
		simulation.engineTokens[group] = max(simulation.engineTokens[group], token)
	}
}
