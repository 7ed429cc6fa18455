package retry

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestRepeatsSoonAfterWindow guards against two bursts of repeats that lie in one window of
// the operators, although this VM has forgotten the first one before the second.
func TestRepeatsSoonAfterWindow(t *testing.T) { runOrders(t, "window") }

// TestRepeatsWithWrongCount guards against VMs that repeat more than the budget together,
// because each takes a share of it and some know too few of the others.
func TestRepeatsWithWrongCount(t *testing.T) { runOrders(t, "count") }

// TestRepeatsAfterRestart guards against a share of the budget that a process takes again
// after it was started again within one window.
func TestRepeatsAfterRestart(t *testing.T) { runOrders(t, "restart") }

// TestRepeatsAfterMove guards against repeats beyond the budget when callers move from some
// VMs to others, and both repeat for the requests of their own last window.
func TestRepeatsAfterMove(t *testing.T) { runOrders(t, "move") }

// TestRepeatsOnTheWay guards against requests that callers sent before the window of the
// operators, because they were read late, and against repeats that arrive after it.
func TestRepeatsOnTheWay(t *testing.T) { runOrders(t, "way") }

// TestFewRequestsRepeat guards against VMs with few requests that never repeat one, and against
// shares of the repeats beside the ratio that are too large together: of VMs that know too few
// of the others, or that have just started.
func TestFewRequestsRepeat(t *testing.T) { runOrders(t, "few") }

// runOrders plays the file of the given name in testdata/orders.
func runOrders(t *testing.T, name string) {
	var vms *fleet
	datadriven.RunTest(t, "testdata/orders/"+name, func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "limits" {
			zones := max(1, int(number(data, "zones")))
			vms = newFleet(Limits{Ratio: number(data, "ratio"), Extra: number(data, "extra"), Zones: zones, Window: 10 * time.Second})
			return ""
		}
		for _, arg := range data.CmdArgs {
			value := 0
			if len(arg.Vals) > 0 {
				value, _ = strconv.Atoi(arg.Vals[0])
			}
			switch data.Cmd {
			case "start":
				vms.start(arg.Key, value)
			case "stop":
				vms.stop(arg.Key)
			case "requests":
				vms.request(arg.Key, value)
			case "repeats":
				vms.repeat(arg.Key, value)
			case "wait":
				vms.now += time.Duration(value) * time.Millisecond
			case "late":
				vms.late = time.Duration(value) * time.Millisecond
			case "slow":
				vms.slow = time.Duration(value) * time.Millisecond
			default:
				t.Fatalf("unknown command %q", data.Cmd)
			}
		}
		switch data.Cmd {
		case "judge":
			return vms.judge() + "\n"
		case "sum":
			return fmt.Sprintf("%d repeats\n", vms.repeats())
		}
		return ""
	})
}

// TestRepeatsInAnyOrder guards against any order of starts, stops, pauses, moves of callers and
// bursts in which all VMs together repeat more than the budget.
func TestRepeatsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		vms := newFleet(Limits{Ratio: 0.2, Extra: rapid.SampledFrom([]float64{0, 5, 54}).Draw(t, "extra"), Zones: zones, Window: 10 * time.Second})
		total := rapid.IntRange(1, 8).Draw(t, "vms")
		// drawKnown returns how many VMs a VM knows: all of its zone, and some of the others.
		drawKnown := func(vm int) int {
			own := 0
			for other := range total {
				if other%zones == vm%zones {
					own++
				}
			}
			return rapid.IntRange(own, total).Draw(t, "known")
		}
		for vm := range total {
			vms.start(strconv.Itoa(vm), drawKnown(vm))
		}
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			number := rapid.IntRange(0, total-1).Draw(t, "vm")
			vm := strconv.Itoa(number)
			switch rapid.SampledFrom([]string{"start", "stop", "requests", "requests", "repeats", "repeats", "wait", "wait"}).Draw(t, "step") {
			case "start":
				vms.start(vm, drawKnown(number))
			case "stop":
				vms.stop(vm)
			case "requests":
				vms.late = time.Duration(rapid.IntRange(0, 600).Draw(t, "late")) * time.Millisecond
				vms.request(vm, rapid.IntRange(1, 300).Draw(t, "requests"))
			case "repeats":
				vms.slow = time.Duration(rapid.IntRange(0, 900).Draw(t, "slow")) * time.Millisecond
				vms.repeat(vm, rapid.IntRange(1, 300).Draw(t, "repeats"))
			case "wait":
				// Most faults show just before or after a window.
				millis := rapid.OneOf(rapid.IntRange(1, 1000), rapid.IntRange(8000, 11000)).Draw(t, "millis")
				vms.now += time.Duration(millis) * time.Millisecond
			}
		}
		if verdict := vms.judge(); verdict != "kept" {
			t.Fatal(verdict)
		}
	})
}

// event is a number of requests or repeats of all VMs at one time.
type event struct {
	at                time.Duration
	requests, repeats int
}

// fleet is a model of all entry VMs for one service. It holds the running VMs with the number of
// VMs that each knows.
type fleet struct {
	limits Limits
	now    time.Duration
	// late is the time from the send of a request by its caller until a VM has read it, and
	// slow the time from the decision to repeat until the repeat arrives.
	late, slow time.Duration

	budgets map[string]*Budget
	known   map[string]int
	events  []event
}

func newFleet(limits Limits) *fleet {
	return &fleet{limits: limits, now: time.Hour, budgets: make(map[string]*Budget), known: make(map[string]int)}
}

// start starts a VM that knows a number of VMs, or starts it again with an empty memory.
func (fleet *fleet) start(vm string, known int) {
	fleet.budgets[vm] = &Budget{Started: fleet.now}
	fleet.budgets[vm].SetLimits(fleet.limits)
	fleet.known[vm] = known
}

func (fleet *fleet) stop(vm string) { delete(fleet.budgets, vm) }

// request makes callers send requests, which reach the VM if it runs.
func (fleet *fleet) request(vm string, count int) {
	fleet.events = append(fleet.events, event{at: fleet.now - fleet.late, requests: count})
	for range count {
		if budget := fleet.budgets[vm]; budget != nil {
			budget.AddRequest(fleet.now)
		}
	}
}

// repeat makes a VM send as many repeats as it may, up to count.
func (fleet *fleet) repeat(vm string, count int) {
	sent := 0
	for budget := fleet.budgets[vm]; budget != nil && sent < count && budget.Allow(fleet.now, fleet.known[vm]); {
		sent++
	}
	fleet.events = append(fleet.events, event{at: fleet.now + fleet.slow, repeats: sent})
}

// repeats returns the number of all repeats.
func (fleet *fleet) repeats() int {
	sum := 0
	for _, event := range fleet.events {
		sum += event.repeats
	}
	return sum
}

// judge returns "kept" if the repeats in each window are within the limits for the requests
// in it, in the one before it or in the one half a window before it, whichever has most.
// Otherwise it describes the window that is over the limits by most.
func (fleet *fleet) judge() string {
	window := fleet.limits.Window
	worst, verdict := 0.0, "kept"
	for _, event := range fleet.events {
		// The counts change only where one of the windows begins or ends at an event.
		for _, offset := range []time.Duration{-window, -window / 2, 0, window / 2, window} {
			for _, from := range []time.Duration{event.at + offset, event.at + offset + 1} {
				_, repeats := fleet.count(from)
				requests := 0
				for _, before := range []time.Duration{0, window / 2, window} {
					found, _ := fleet.count(from - before)
					requests = max(requests, found)
				}
				allowed := fleet.limits.Ratio*float64(requests) + fleet.limits.Extra
				if over := float64(repeats) - allowed; over > worst+1e-6 {
					worst, verdict = over, fmt.Sprintf("broken by %.1f: %d repeats, %d requests", over, repeats, requests)
				}
			}
		}
	}
	return verdict
}

// count returns the requests and repeats in the window that begins at a time.
func (fleet *fleet) count(from time.Duration) (requests, repeats int) {
	for _, event := range fleet.events {
		if event.at >= from && event.at < from+fleet.limits.Window {
			requests += event.requests
			repeats += event.repeats
		}
	}
	return requests, repeats
}
