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

// world is one zone of VMs, a sequence of leaders and a network that loses,
// delays and reorders messages. Time moves only by its own steps.
type world struct {
	t       *rapid.T
	now     time.Time
	budget  Budget
	vms     map[core.VMID]*machine
	leader  *Leader
	term    int
	index   uint64
	owners  Owners
	cutTo   map[core.VMID]bool
	cutFrom map[core.VMID]bool
	apart   map[[2]core.VMID]bool
	mail    []func()
	// proposed are assignments of the leader that are not yet applied.
	proposed []ledger.Assign
	// engines holds the largest token that an engine has seen.
	engines map[core.GroupID]core.FencingToken
	held    map[core.GroupID]core.FencingToken
	drawn   map[drawn]Member
	runs    int
}

// drawn is a token that some VM has held.
type drawn struct {
	group core.GroupID
	token core.FencingToken
}

type machine struct {
	holder  *Holder
	frozen  bool
	demands []Demand
}

var (
	plainGroup  = core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "plain"}
	fencedGroup = core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: "fenced"}
	worldStart  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func newWorld(t *rapid.T) *world {
	world := &world{
		t: t, now: worldStart, budget: Budget{Loads: 7, Transit: 9, Zones: 1, GroupsPerZone: 2},
		vms: make(map[core.VMID]*machine), owners: make(Owners),
		cutTo: make(map[core.VMID]bool), cutFrom: make(map[core.VMID]bool), apart: make(map[[2]core.VMID]bool),
		engines: make(map[core.GroupID]core.FencingToken), held: make(map[core.GroupID]core.FencingToken),
		drawn: make(map[drawn]Member),
	}
	world.elect()
	for i := range rapid.IntRange(1, 3).Draw(t, "vms") {
		world.start(core.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return world
}

func (world *world) start(vm core.VMID) {
	world.runs++
	self := Member{vm, core.Incarnation(fmt.Sprint(world.runs))}
	one := &machine{holder: NewHolder(world.now, self, world.budget)}
	one.demands = []Demand{{Group: plainGroup, Wanted: true, Loads: 1}, {Group: fencedGroup, Wanted: true, Loads: 2, ChecksFencing: true}}
	world.vms[vm] = one
	for _, other := range world.names() {
		one.holder.Meet(world.now, other)
	}
}

func (world *world) names() []core.VMID {
	return slices.Sorted(maps.Keys(world.vms))
}

// elect starts a term. Entries of earlier terms are applied or lost before it.
func (world *world) elect() {
	for _, assign := range world.proposed {
		if rapid.Bool().Draw(world.t, "survives") {
			world.apply(assign)
		}
	}
	world.proposed = nil
	world.term++
	world.leader = NewLeader(world.now, world.budget)
}

func (world *world) apply(assign ledger.Assign) {
	world.index++
	if world.owners[assign.Group].Token != assign.Previous {
		return
	}
	owners := maps.Clone(world.owners)
	owners[assign.Group] = ledger.Ownership{
		Group: assign.Group, VM: assign.VM, Incarnation: assign.Incarnation,
		Token: core.FencingToken(world.index << ledger.FencingShift),
	}
	world.owners = owners
}

// deliver handles the message now or leaves it for a later step, which may come
// after any other message.
func (world *world) deliver(message func()) {
	switch rapid.IntRange(0, 9).Draw(world.t, "fate") {
	case 0:
	case 1, 2:
		world.mail = append(world.mail, message)
	default:
		message()
	}
}

func (world *world) renew(vm core.VMID) {
	one := world.vms[vm]
	sequence, answered := one.holder.Send(world.now)
	renewal := Renewal{
		Member: one.holder.self, Zone: "a", Sequence: sequence, Answered: answered,
		Draining: one.holder.Draining(), Demands: world.demandsOf(one),
	}
	if !world.cutTo[vm] {
		world.deliver(func() { world.receive(one, renewal) })
	}
}

func (world *world) demandsOf(one *machine) []Demand {
	demands := slices.Clone(one.demands)
	for i, demand := range demands {
		one.holder.Seen(demand.Group, world.engines[demand.Group])
		demands[i].Seen = one.holder.Highest(demand.Group)
	}
	return demands
}

// receive is the leader's part. Only the leader of the newest term can confirm.
func (world *world) receive(one *machine, renewal Renewal) {
	grant := world.leader.Renew(world.now, renewal, world.owners)
	owners, number := world.owners, world.index
	answer := Answer{Sequence: renewal.Sequence, Granted: grant.Granted, Length: Length, Directory: number, Share: grant.Share}
	if world.cutFrom[renewal.VM] {
		return
	}
	world.deliver(func() {
		if !one.frozen && world.vms[renewal.VM] == one {
			one.holder.Learn(number, owners)
			one.holder.Answered(world.now, answer)
		}
	})
}

func (world *world) tick() {
	world.proposed = append(world.proposed, world.leader.Tick(world.now, world.owners)...)
}

func (world *world) commit() {
	if len(world.proposed) > 0 {
		world.apply(world.proposed[0])
		world.proposed = world.proposed[1:]
	}
}

// ask sends a round to the other VMs and applies the replies at once or later.
func (world *world) ask(one *machine, round Round, done func(Replies)) {
	var replies Replies
	for _, other := range round.Others() {
		target, ok := world.vms[other]
		switch {
		case !ok || target.frozen || world.apart[pair(one.holder.self.VM, other)]:
			replies.Unreachable++
		default:
			if granted, _ := target.holder.Consent(world.now, round.Request); !granted {
				replies.Refused++
			} else if rapid.IntRange(0, 9).Draw(world.t, "reply") == 0 {
				replies.Unreachable++
			} else {
				replies.Granted = append(replies.Granted, other)
			}
		}
	}
	world.deliver(func() {
		if !one.frozen && world.vms[one.holder.self.VM] == one {
			done(replies)
		}
	})
}

func (world *world) local(vm core.VMID) {
	one := world.vms[vm]
	world.demandsOf(one)
	if round, ok := one.holder.Introduction(world.now); ok {
		world.ask(one, round, func(replies Replies) { one.holder.Introduced(world.now, replies) })
	}
	if round, ok := one.holder.Keep(world.now); ok {
		world.ask(one, round, func(replies Replies) { one.holder.Kept(world.now, round, replies) })
	}
	for _, demand := range one.demands {
		if round, ok := one.holder.Takeover(world.now, demand); ok {
			world.ask(one, round, func(replies Replies) { one.holder.TakenOver(world.now, round, replies) })
		}
	}
}

func pair(a, b core.VMID) [2]core.VMID {
	return [2]core.VMID{min(a, b), max(a, b)}
}

// check fails if two VMs believe they own the group whose engines check no
// tokens, if a token goes back or has two holders, or if the shares exceed the budget.
func (world *world) check() {
	used := Share{}
	for _, group := range []core.GroupID{plainGroup, fencedGroup} {
		holders := 0
		for _, vm := range world.names() {
			token, _, held := world.vms[vm].holder.Held(world.now, group)
			if !held {
				continue
			}
			holders++
			if group == plainGroup && token < world.held[group] {
				world.t.Fatalf("%s holds %s with token %x after %x", vm, group, token, world.held[group])
			}
			if token > world.held[group] {
				world.held[group] = token
			}
			self := world.vms[vm].holder.self
			if first, ok := world.drawn[drawn{group, token}]; ok && first.VM != self.VM {
				world.t.Fatalf("%v and %v hold %s with the same token %x", first, self, group, token)
			}
			world.drawn[drawn{group, token}] = self
			world.order(group, token)
		}
		if group == plainGroup && holders > 1 {
			world.t.Fatalf("%d VMs hold %s at %s", holders, group, world.now.Sub(worldStart))
		}
	}
	for _, vm := range world.names() {
		used = used.plus(world.vms[vm].holder.Share(world.now))
	}
	if used.Loads > world.budget.Loads+1e-9 || used.Transit > world.budget.Transit {
		world.t.Fatalf("shares add up to %v of %v", used, world.budget)
	}
}

// order lets the engine see the token, as an order of the owner would.
func (world *world) order(group core.GroupID, token core.FencingToken) {
	if group == fencedGroup && rapid.IntRange(0, 3).Draw(world.t, "order") == 0 {
		world.engines[group] = max(world.engines[group], token)
	}
}
