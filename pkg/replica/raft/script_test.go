package raft

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts tests rules of the protocol that random runs exercise too rarely. Each
// data file states which failure it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		script := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "new" {
				script.cluster = newCluster(script.number(data, "size"), t.Fatalf)
				if data.HasArg("halves") {
					script.cluster = newHalvingCluster(script.number(data, "size"), t.Fatalf)
				}
			}
			script.cluster.fail = t.Fatalf
			return strings.TrimSuffix(script.run(data), "\n") + "\n"
		})
	})
}

// script runs the commands of a data file against a cluster. The argument vm is the
// number of a VM. The arguments from and to select messages by sender and receiver.
type script struct {
	cluster *cluster
}

// number returns a numeric argument, or -1 if it is absent.
func (script *script) number(data *datadriven.TestData, name string) int {
	number := -1
	for _, arg := range data.CmdArgs {
		if arg.Key == name {
			_, _ = fmt.Sscan(arg.Vals[0], &number)
		}
	}
	return number
}

func (script *script) run(data *datadriven.TestData) string {
	var machine *machine
	if vm := script.number(data, "vm"); vm >= 0 {
		machine = script.cluster.machines[vm]
	}
	var err error
	switch data.Cmd {
	case "tick":
		for range script.number(data, "count") {
			script.cluster.tick(machine)
		}
	case "elect":
		script.elect(machine)
	case "propose":
		_, _, err = machine.node.Propose([]byte(data.Input))
	case "deliver":
		script.deliver(data)
	case "lose":
		script.cluster.network = slices.DeleteFunc(script.cluster.network, func(message Message) bool { return script.selects(data, message) })
	case "crash":
		machine.node = nil
	case "restart":
		script.cluster.start(machine)
	case "wipe":
		script.cluster.wipe(machine)
	case "ask": // asks the VM with the number other for its incarnation
		script.cluster.ask(machine, script.cluster.machines[script.number(data, "other")])
	case "answer": // delivers the answers to all questions
		for len(script.cluster.polls) > 0 {
			script.cluster.answer(0)
		}
	case "compact":
		script.cluster.compact(machine)
	case "add", "promote", "remove", "demote":
		err = script.change(data, machine)
	case "stabilize":
		return fmt.Sprintf("recovered=%t\n%s", script.cluster.stabilize(), script.status())
	}
	if machine != nil && machine.node != nil {
		script.cluster.processReady(machine, noCrash)
	}
	if err != nil {
		return err.Error()
	}
	return script.status()
}

// elect ticks the other VMs until they have no leader, drops all messages in flight, and
// ticks the candidate until it has sent its pre-vote requests.
func (script *script) elect(candidate *machine) {
	for _, machine := range script.cluster.machines {
		for range 20 {
			if machine != candidate {
				script.cluster.tick(machine)
			}
		}
	}
	script.cluster.network = nil
	for len(script.cluster.network) == 0 {
		script.cluster.tick(candidate)
	}
}

// deliver delivers the selected messages in flight. With the argument all, it continues
// with the messages that are sent in response until none is selected.
func (script *script) deliver(data *datadriven.TestData) {
	for {
		count := len(script.cluster.network)
		position := 0
		for range count {
			if script.selects(data, script.cluster.network[position]) {
				script.cluster.deliver(position, false, noCrash)
			} else {
				position++
			}
		}
		if !data.HasArg("all") || position == len(script.cluster.network) {
			return
		}
	}
}

func (script *script) selects(data *datadriven.TestData, message Message) bool {
	matches := func(name string, id ReplicaID) bool {
		number := script.number(data, name)
		return number < 0 || script.cluster.machines[number].disk.id.VM == id.VM
	}
	return matches("from", message.From) && matches("to", message.To)
}

// change proposes a membership change for the current replica of a VM.
func (script *script) change(data *datadriven.TestData, leader *machine) error {
	id := script.cluster.machines[script.number(data, "replica")].disk.id
	var err error
	switch data.Cmd {
	case "add":
		_, err = leader.node.AddLearner(id, true)
	case "promote":
		_, err = leader.node.Promote(id)
	case "remove":
		_, err = leader.node.Remove(id, ReplicaID{})
	case "demote":
		_, err = leader.node.Demote(id, ReplicaID{})
	}
	return err
}

// status returns one line for each VM.
func (script *script) status() string {
	roles := map[Role]string{Follower: "follower", PreCandidate: "pre-candidate", Candidate: "candidate", Leader: "leader"}
	var lines strings.Builder
	for _, machine := range script.cluster.machines {
		if machine.node == nil {
			fmt.Fprintf(&lines, "%s down\n", machine.disk.id)
			continue
		}
		status := machine.node.Status()
		fmt.Fprintf(&lines, "%s %s term=%d commit=%d last=%d", status.ID, roles[status.Role], status.Term, status.Commit, status.Last)
		fmt.Fprintf(&lines, " voters=%v learners=%v applied=%v", status.Membership.Voters, status.Membership.Learners, machine.applied)
		for _, id := range slices.SortedFunc(maps.Keys(machine.node.lost), func(a, b ReplicaID) int { return strings.Compare(a.String(), b.String()) }) {
			fmt.Fprintf(&lines, " lost=%s", id)
		}
		lines.WriteString("\n")
	}
	return lines.String()
}
