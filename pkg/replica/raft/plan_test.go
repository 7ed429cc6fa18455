package raft

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestPlan guards against an unresponsive replica that is never replaced, against one that
// is removed before its replacement is a voter, against a replacement because of a short
// network partition, and against a new VM that replaces none or replaces one again and
// again.
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plan", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd != "plan" {
			return "unknown command\n"
		}
		members, view := parseView(data)
		step, ok := members.Plan(view)
		if !ok {
			return "nothing\n"
		}
		if step.Replica.IsZero() {
			return step.Kind.String() + "\n"
		}
		if step.CountsLost {
			return fmt.Sprintf("%s %s counts lost\n", step.Kind, step.Replica)
		}
		if !step.Successor.IsZero() {
			return fmt.Sprintf("%s %s for %s\n", step.Kind, step.Replica, step.Successor)
		}
		return fmt.Sprintf("%s %s\n", step.Kind, step.Replica)
	})
}

// parseView reads one replica per line: vm/incarnation, zone, role, "successor" for one that
// has not replaced another yet, "joining" for one with an empty log, "counts" for one whose program
// counts lost voters, and the number of missed surveys, or "lost" for a previous incarnation. The
// argument "halves" is that of a membership that counts lost voters.
func parseView(data *datadriven.TestData) (Membership, View) {
	var members Membership
	view := View{Missed: make(map[core.VMID]int), Zones: make(map[core.VMID]core.ZoneID), MissedBeforeReplacement: 30, MissedBeforeSameZoneReplacement: 6}
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "voters":
			view.Voters, _ = strconv.Atoi(arg.Vals[0])
		case "halves":
			members.CountsLost = true
		}
	}
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		vm, incarnation, _ := strings.Cut(fields[0], "/")
		id := ReplicaID{VM: core.VMID(vm), Incarnation: core.Incarnation(incarnation)}
		view.Zones[id.VM] = core.ZoneID(fields[1])
		missed := 0
		for _, field := range fields[2:] {
			switch field {
			case "voter":
				members.Voters = append(members.Voters, id)
			case "learner":
				members.Learners = append(members.Learners, id)
			case "successor":
				members.Successors = append(members.Successors, id)
			case "counts":
				view.CountsLost = append(view.CountsLost, id)
			case "joining":
				view.Joining = append(view.Joining, id)
			case "self":
				view.Self = id
			case "lost":
				missed = -1
			default:
				missed, _ = strconv.Atoi(field)
			}
		}
		switch {
		case missed == 0:
			view.Present = append(view.Present, id)
		case missed > 0:
			view.Missed[id.VM] = missed
		}
	}
	return members, view
}
