package lease

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestScripts guards against an ownership that starts before the previous one has ended,
// against a group that is not reassigned after its owner failed or drained, and against a
// push that is omitted or repeated without limit. Each file under testdata is one scenario
// with its times.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		script := &script{start: startTime, now: startTime, owners: make(Owners), holders: make(map[core.VMID]*Holder), tracker: NewPushTracker(DeliveryOptions{})}
		datadriven.RunTest(t, path, script.run)
	})
}

// script runs the commands of a data file. The argument at is the time since start.
type script struct {
	start   time.Time
	now     time.Time
	budget  Budget
	leader  *Leader
	owners  Owners
	index   uint64
	holders map[core.VMID]*Holder
	tracker *PushTracker
}

func (script *script) run(t *testing.T, data *datadriven.TestData) string {
	if data.HasArg("at") {
		var text string
		data.ScanArgs(t, "at", &text)
		at, err := time.ParseDuration(text)
		if err != nil {
			return err.Error()
		}
		script.now = script.start.Add(at)
	}
	commands := map[string]func(*datadriven.TestData) string{
		"leader": script.newLeader, "renew": script.renew, "tick": script.tick, "holder": script.newHolder,
		"answer": script.answer, "held": script.held, "consent": script.consent, "extend": script.extend,
		"takeover": script.takeover, "push": script.push,
	}
	command, ok := commands[data.Cmd]
	if !ok {
		return "unknown command " + data.Cmd
	}
	return command(data)
}

func stringArg(data *datadriven.TestData, key string) string {
	for _, argument := range data.CmdArgs {
		if argument.Key == key && len(argument.Vals) > 0 {
			return argument.Vals[0]
		}
	}
	return ""
}

func uintArg(data *datadriven.TestData, key string) uint64 {
	value, _ := strconv.ParseUint(stringArg(data, key), 0, 64)
	return value
}

func parseMember(text string) Member {
	vm, incarnation, _ := strings.Cut(text, "/")
	return Member{core.VMID(vm), core.Incarnation(incarnation)}
}

func engineGroup(text string) core.GroupID {
	return core.GroupID{Zone: "a", Kind: core.EngineGroup, Name: text}
}

func (script *script) newLeader(data *datadriven.TestData) string {
	script.budget = Budget{Loads: 8, Transit: int(uintArg(data, "transit")), Zones: 2, GroupsPerZone: 2}
	script.leader = NewLeader(script.now, script.budget)
	return ""
}

func (script *script) renew(data *datadriven.TestData) string {
	renewal := Renewal{
		Member: parseMember(stringArg(data, "vm")), Zone: "a", Sequence: uintArg(data, "sequence"),
		Answered: uintArg(data, "answered"), Draining: data.HasArg("draining"),
	}
	for line := range strings.Lines(data.Input) {
		var name string
		var loads float64
		var seen uint64
		_, _ = fmt.Sscan(line, &name, &loads, &seen)
		renewal.Demands = append(renewal.Demands, Demand{
			Group: engineGroup(name), Wanted: true, Loads: core.LoadsPerSecond(loads), Seen: core.FencingToken(seen),
		})
	}
	grant := script.leader.Renew(script.now, renewal, script.owners)
	return fmt.Sprintf("granted=%v loads=%.2f transit=%d\n", grant.Granted, grant.Share.Loads, grant.Share.Transit)
}

func (script *script) tick(data *datadriven.TestData) string {
	var out strings.Builder
	assigns := script.leader.Tick(script.now, script.owners)
	for _, assign := range assigns {
		fmt.Fprintf(&out, "%s to %s/%s replacing %x\n", assign.Group, assign.VM, assign.Incarnation, assign.Previous)
		if data.HasArg("apply") {
			script.index++
			token := core.FencingToken(script.index << ledger.FencingShift)
			script.owners[assign.Group] = ledger.Ownership{Group: assign.Group, VM: assign.VM, Incarnation: assign.Incarnation, Token: token}
		}
	}
	if len(assigns) == 0 {
		return "nothing\n"
	}
	return out.String()
}

func (script *script) newHolder(data *datadriven.TestData) string {
	self := parseMember(stringArg(data, "vm"))
	holder := NewHolder(script.now, self, Budget{Loads: 8, Transit: 8, Zones: 2, GroupsPerZone: 2})
	for line := range strings.Lines(data.Input) {
		holder.AddPeer(script.now, core.VMID(strings.TrimSpace(line)))
	}
	holder.FinishIntroduction(script.now, Replies{Granted: holder.Peers()})
	script.holders[self.VM] = holder
	return ""
}

// answer sends a renewal at the time of the argument sent and applies its answer now.
func (script *script) answer(data *datadriven.TestData) string {
	holder := script.holders[core.VMID(stringArg(data, "vm"))]
	sent, _ := time.ParseDuration(stringArg(data, "sent"))
	sequence, _ := holder.BeginRenewal(script.start.Add(sent))
	if data.HasArg("sequence") {
		sequence = uintArg(data, "sequence")
	}
	directory := uintArg(data, "directory")
	if data.Input != "" {
		holder.UpdateOwners(directory, script.ownersOf(data.Input))
	}
	answer := Answer{Sequence: sequence, Granted: !data.HasArg("refused"), Length: Length, Directory: directory}
	return fmt.Sprintf("in time=%v\n", holder.HandleAnswer(script.now, answer))
}

func (script *script) ownersOf(text string) Owners {
	owners := make(Owners)
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		member := parseMember(fields[1])
		token, _ := strconv.ParseUint(fields[2], 0, 64)
		group := engineGroup(fields[0])
		owners[group] = ledger.Ownership{Group: group, VM: member.VM, Incarnation: member.Incarnation, Token: core.FencingToken(token)}
	}
	return owners
}

func (script *script) held(data *datadriven.TestData) string {
	var out strings.Builder
	for _, name := range strings.Fields(stringArg(data, "vm")) {
		holder := script.holders[core.VMID(name)]
		token, until, held := holder.Held(script.now, engineGroup(stringArg(data, "group")))
		fmt.Fprintf(&out, "%s held=%v", name, held)
		if held {
			fmt.Fprintf(&out, " token=%x until=%s", token, until.Sub(script.start))
		}
		fmt.Fprintf(&out, " loads=%.2f\n", holder.Share(script.now).Loads)
	}
	return out.String()
}

func (script *script) consent(data *datadriven.TestData) string {
	request := ConsentRequest{Member: parseMember(stringArg(data, "from")), Length: ConsentLength, Groups: []core.GroupID{engineGroup(stringArg(data, "group"))}}
	granted, reason := script.holders[core.VMID(stringArg(data, "vm"))].Consent(script.now, request)
	return strings.TrimSpace(fmt.Sprintf("granted=%v %s", granted, reason)) + "\n"
}

// poll sends the round to the other VMs of the script. The VMs of the argument down do
// not answer.
func (script *script) poll(data *datadriven.TestData, round ConsentRound) Replies {
	var replies Replies
	down := strings.Fields(stringArg(data, "down"))
	for _, other := range round.Peers() {
		holder, ok := script.holders[other]
		if !ok || slices.Contains(down, string(other)) {
			replies.Unreachable++
			continue
		}
		if granted, _ := holder.Consent(script.now, round.ConsentRequest); granted {
			replies.Granted = append(replies.Granted, other)
		} else {
			replies.Refused++
		}
	}
	return replies
}

func (script *script) extend(data *datadriven.TestData) string {
	holder := script.holders[core.VMID(stringArg(data, "vm"))]
	round, ok := holder.BeginExtension(script.now)
	if !ok {
		return "no round\n"
	}
	replies := script.poll(data, round)
	holder.FinishExtension(script.now, round, replies)
	return fmt.Sprintf("granted=%d refused=%d unreachable=%d\n", len(replies.Granted), replies.Refused, replies.Unreachable)
}

func (script *script) takeover(data *datadriven.TestData) string {
	holder := script.holders[core.VMID(stringArg(data, "vm"))]
	round, ok := holder.BeginTakeover(script.now, Demand{Group: engineGroup(stringArg(data, "group")), Wanted: true, ChecksFencing: data.HasArg("checks")})
	if !ok {
		return "refused\n"
	}
	return fmt.Sprintf("taken=%v\n", holder.FinishTakeover(script.now, round, script.poll(data, round)))
}

func (script *script) push(data *datadriven.TestData) string {
	member := parseMember(stringArg(data, "vm"))
	has := VersionNumbers{Config: core.ConfigNumber(uintArg(data, "config")), Directory: uintArg(data, "directory")}
	switch stringArg(data, "do") {
	case "changed":
		script.tracker.UpdateNewest(has)
	case "renewed":
		script.tracker.RecordRenewal(script.now, member, has)
	case "acknowledged":
		script.tracker.RecordAcknowledgment(member, has)
	}
	var out strings.Builder
	for _, push := range script.tracker.TakeDue(script.now) {
		fmt.Fprintf(&out, "to %s from %d/%d\n", push.VM, push.Has.Config, push.Has.Directory)
	}
	if out.Len() == 0 {
		return "none due\n"
	}
	return out.String()
}
