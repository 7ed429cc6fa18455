package lease

import (
	"testing"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"pgregory.net/rapid"
)

// TestOwnershipUnderFaults guards against a second owner of a group, a token that
// goes back, and shares above the store's limit, under frozen and restarted VMs,
// cuts in one or both directions, lost and late messages, and leader changes.
func TestOwnershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		warm := rapid.IntRange(0, 16).Draw(t, "warm")
		for step := range rapid.IntRange(20, 100).Draw(t, "steps") {
			if step >= warm {
				world.fault()
			}
			world.advance()
			world.check()
		}
	})
}

// TestVMUnknownToOwner guards against a second owner when a VM that is in nobody's
// settings starts while it reaches the leader only, and the owner reaches neither.
func TestVMUnknownToOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		for range 16 {
			world.advance()
		}
		world.cutAll(true)
		old := world.names()
		world.start("vm-9")
		for _, vm := range old {
			world.apart[pair("vm-9", vm)] = true
		}
		for range 40 {
			world.advance()
			world.check()
		}
	})
}

// advance moves the time and lets every running VM and the leader do their work.
func (world *world) advance() {
	step := rapid.SampledFrom([]time.Duration{1, 100, 250, 250, 250, 500, 900}).Draw(world.t, "step")
	world.now = world.now.Add(step * time.Millisecond)
	world.check()
	for _, vm := range world.names() {
		if one := world.vms[vm]; !one.frozen {
			world.renew(vm)
			world.check()
			world.local(vm)
			world.check()
		}
	}
	world.late()
	world.tick()
	if rapid.IntRange(0, 3).Draw(world.t, "commit") > 0 {
		world.commit()
	}
}

func (world *world) late() {
	if len(world.mail) == 0 || !rapid.Bool().Draw(world.t, "late") {
		return
	}
	at := rapid.IntRange(0, len(world.mail)-1).Draw(world.t, "which")
	message := world.mail[at]
	world.mail = append(world.mail[:at:at], world.mail[at+1:]...)
	message()
}

func (world *world) fault() {
	vm := rapid.SampledFrom(world.names()).Draw(world.t, "vm")
	other := rapid.SampledFrom(world.names()).Draw(world.t, "other")
	one := world.vms[vm]
	switch rapid.IntRange(0, 39).Draw(world.t, "fault") {
	case 0:
		one.frozen = true
	case 1, 2, 3:
		one.frozen = false
	case 4:
		world.cutTo[vm] = !world.cutTo[vm]
	case 5:
		world.cutFrom[vm] = !world.cutFrom[vm]
	case 6, 7:
		world.cutAll(true)
	case 8, 9:
		world.cutAll(false)
	case 10:
		world.apart[pair(vm, other)] = vm != other
	case 11, 12:
		clear(world.apart)
	case 13:
		world.elect()
	case 14:
		world.start(vm)
	case 15:
		one.holder.Drain()
	case 16, 17:
		world.commit()
	case 18:
		if len(world.vms) < 4 {
			world.start(core.VMID(rapid.SampledFrom([]string{"vm-3", "vm-4", "vm-5"}).Draw(world.t, "new")))
		}
	case 19, 20: // a VM restarts right after its zone was cut off
		world.cutAll(true)
		for range rapid.IntRange(1, 12).Draw(world.t, "cut steps") {
			world.advance()
		}
		world.start(vm)
		world.cutTo[vm], world.cutFrom[vm] = false, false
	case 21, 22: // the rest of the zone loses the leader and one VM, then one comes back
		world.cutAll(true)
		world.apart[pair(vm, other)] = vm != other
		for range rapid.IntRange(1, 12).Draw(world.t, "apart steps") {
			world.advance()
		}
		world.cutTo[other], world.cutFrom[other] = false, false
	}
}

func (world *world) cutAll(cut bool) {
	for _, vm := range world.names() {
		world.cutTo[vm], world.cutFrom[vm] = cut, cut
	}
}

// TestDivideIsExact guards against shares whose sum differs from the budget.
func TestDivideIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := Share{Loads: 7, Transit: rapid.IntRange(0, 50).Draw(t, "transit")}
		var weights []weight
		total := 0.0
		for i, value := range rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 12).Draw(t, "weights") {
			weights = append(weights, weight{Member{VM: core.VMID(rune('a' + i))}, value})
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
