package lease

import (
	"testing"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"pgregory.net/rapid"
)

// TestOwnershipUnderFaults guards against two owners of a group whose engines do not check
// tokens, against a token of that group that decreases, against two VMs that hold a group
// with the same token, and against shares that exceed the budget of the store. Faults are
// suspended and restarted VMs, connections that fail in one or both directions, lost
// and delayed messages, and leader changes.
func TestOwnershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t)
		warmup := rapid.IntRange(0, 16).Draw(t, "warmup")
		for step := range rapid.IntRange(20, 100).Draw(t, "steps") {
			if step >= warmup {
				simulation.injectFault()
			}
			simulation.advance()
			simulation.checkInvariants()
		}
	})
}

// TestVMUnknownToOwner checks that a group never has two owners when a VM that is in no
// other VM's settings starts. The new VM reaches the leader but no other VM, and the
// owner reaches neither the leader nor the new VM, so it cannot ask the new VM for consent.
func TestVMUnknownToOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t)
		for range 16 {
			simulation.advance()
		}
		simulation.blockLeader(true)
		existing := simulation.vmIDs()
		simulation.startVM("vm-9")
		for _, vm := range existing {
			simulation.partitioned[pair("vm-9", vm)] = true
		}
		for range 40 {
			simulation.advance()
			simulation.checkInvariants()
		}
	})
}

// advance moves the clock forward by a random step and runs every VM that is not
// suspended and the leader once.
func (simulation *simulation) advance() {
	step := rapid.SampledFrom([]time.Duration{1, 100, 250, 250, 250, 500, 900}).Draw(simulation.t, "step")
	simulation.now = simulation.now.Add(step * time.Millisecond)
	simulation.checkInvariants()
	for _, vm := range simulation.vmIDs() {
		if vmState := simulation.vms[vm]; !vmState.suspended {
			simulation.renew(vm)
			simulation.checkInvariants()
			simulation.runZoneProtocol(vm)
			simulation.checkInvariants()
		}
	}
	simulation.deliverDelayed()
	simulation.tick()
	if rapid.IntRange(0, 3).Draw(simulation.t, "commit") > 0 {
		simulation.commit()
	}
}

// deliverDelayed delivers a random delayed message in half of the cases.
func (simulation *simulation) deliverDelayed() {
	if len(simulation.delayed) == 0 || !rapid.Bool().Draw(simulation.t, "deliver delayed") {
		return
	}
	index := rapid.IntRange(0, len(simulation.delayed)-1).Draw(simulation.t, "message")
	message := simulation.delayed[index]
	simulation.delayed = append(simulation.delayed[:index:index], simulation.delayed[index+1:]...)
	message()
}

func (simulation *simulation) injectFault() {
	vm := rapid.SampledFrom(simulation.vmIDs()).Draw(simulation.t, "vm")
	other := rapid.SampledFrom(simulation.vmIDs()).Draw(simulation.t, "other")
	target := simulation.vms[vm]
	switch rapid.IntRange(0, 39).Draw(simulation.t, "fault") {
	case 0:
		target.suspended = true
	case 1, 2, 3:
		target.suspended = false
	case 4:
		simulation.blockedToLeader[vm] = !simulation.blockedToLeader[vm]
	case 5:
		simulation.blockedFromLeader[vm] = !simulation.blockedFromLeader[vm]
	case 6, 7:
		simulation.blockLeader(true)
	case 8, 9:
		simulation.blockLeader(false)
	case 10:
		simulation.partitioned[pair(vm, other)] = vm != other
	case 11, 12:
		clear(simulation.partitioned)
	case 13:
		simulation.elect()
	case 14:
		simulation.startVM(vm)
	case 15:
		target.holder.Drain()
	case 16, 17:
		simulation.commit()
	case 18:
		if len(simulation.vms) < 4 {
			simulation.startVM(core.VMID(rapid.SampledFrom([]string{"vm-3", "vm-4", "vm-5"}).Draw(simulation.t, "new")))
		}
	case 19, 20: // a VM restarts while its zone has no contact to the leader, then reaches the leader
		simulation.blockLeader(true)
		for range rapid.IntRange(1, 12).Draw(simulation.t, "isolated steps") {
			simulation.advance()
		}
		simulation.startVM(vm)
		simulation.blockedToLeader[vm], simulation.blockedFromLeader[vm] = false, false
	case 21, 22: // the zone loses the leader, two VMs cannot reach each other, and one of them reaches the leader again
		simulation.blockLeader(true)
		simulation.partitioned[pair(vm, other)] = vm != other
		for range rapid.IntRange(1, 12).Draw(simulation.t, "partitioned steps") {
			simulation.advance()
		}
		simulation.blockedToLeader[other], simulation.blockedFromLeader[other] = false, false
	}
}

// blockLeader blocks or unblocks the connections of all VMs with the leader, in both
// directions.
func (simulation *simulation) blockLeader(blocked bool) {
	for _, vm := range simulation.vmIDs() {
		simulation.blockedToLeader[vm], simulation.blockedFromLeader[vm] = blocked, blocked
	}
}

// TestDivideIsExact checks that the parts of a share sum to the share: exactly for
// Transit, and not above it for Loads.
func TestDivideIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := Share{Loads: 7, Transit: rapid.IntRange(0, 50).Draw(t, "transit")}
		var weights []memberWeight
		total := 0.0
		for i, value := range rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 12).Draw(t, "weights") {
			weights = append(weights, memberWeight{Member{VM: core.VMID(rune('a' + i))}, value})
			total += value
		}
		var sum Share
		for _, part := range divide(whole, weights) {
			sum = sum.plus(part)
		}
		if total > 0 && (sum.Transit != whole.Transit || sum.Loads > whole.Loads+1e-9) {
			t.Fatalf("parts add up to %v of %v", sum, whole)
		}
	})
}
