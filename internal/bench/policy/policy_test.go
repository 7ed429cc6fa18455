package policy

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// smallSetup returns a setup that simulates quickly and has a burst, a shift, a restart
// and failing loads.
func smallSetup(exponent float64) Setup {
	setup := Deployment1(exponent)
	setup.Engines = 5
	setup.Share.PerSecond = 3
	setup.Restarts = []time.Duration{30 * time.Second}
	setup.Workload.Adapters = 300
	setup.Workload.Length = 2 * time.Minute
	setup.Workload.PerSecond = 4
	setup.Workload.BurstFrom, setup.Workload.BurstTo = 50*time.Second, 60*time.Second
	setup.Workload.Shift = 80 * time.Second
	return setup
}

// TestRuns checks that neither the scheduler nor a baseline evicts an adapter with
// unfinished calls, sends a call to an engine without the adapter or loses calls when
// engines restart, and that runs with the same seed give the same result.
func TestRuns(t *testing.T) {
	is := is.New(t)
	setup := smallSetup(1)
	calls := len(setup.Workload.requests(firstSeed))
	for _, runOnce := range []func() Result{
		func() Result { return RunScheduler(setup, deployment1StallWeight, firstSeed) },
		func() Result { return RunScheduler(setup, 0, firstSeed) },
		func() Result { return RunBaseline(setup, LeastLoaded, firstSeed) },
		func() Result { return RunBaseline(setup, LeastLoadedCopy, firstSeed) },
		func() Result { return RunBaseline(setup, StaticHash, firstSeed) },
	} {
		result := runOnce()
		is.Equal(result, runOnce())
		is.Equal(result.Violations, 0)
		is.Equal(result.Unaccounted, 0)
		is.Equal(result.Answered+result.Refused, calls)
	}
}

// TestBounds checks that the lower bounds are not above the wait of the scheduler.
func TestBounds(t *testing.T) {
	is := is.New(t)
	for _, exponent := range zipfExponents {
		setup := smallSetup(exponent)
		requests := setup.Workload.requests(firstSeed)
		wait := RunScheduler(setup, 1, firstSeed).TotalWait
		is.True(clairvoyantWait(requests, setup.Engines*setup.Slots, loadTime) <= wait)
		is.True(lagrangianWait(setup, requests) <= wait)
	}
}

// TestClairvoyant compares the number of misses, and so the eviction rule, with an
// exhaustive search over all choices for short sequences of requests.
func TestClairvoyant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var requests []request
		for i := range rapid.IntRange(1, 9).Draw(t, "requests") {
			requests = append(requests, request{at: time.Duration(i) * time.Second, adapter: rapid.IntRange(0, 4).Draw(t, "adapter")})
		}
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		want := fewestMisses(requests, map[int]bool{}, slots)
		if got := clairvoyantWait(requests, slots, loadTime); got != time.Duration(want)*loadTime {
			t.Fatalf("got %v, want %d loads", got, want)
		}
	})
}

// fewestMisses returns the minimum number of misses over all eviction choices.
func fewestMisses(requests []request, resident map[int]bool, slots int) int {
	if len(requests) == 0 {
		return 0
	}
	adapter := requests[0].adapter
	if resident[adapter] {
		return fewestMisses(requests[1:], resident, slots)
	}
	best := fewestMisses(requests[1:], resident, slots)
	if len(resident) < slots {
		best = min(best, fewestMisses(requests[1:], withAdapter(resident, adapter, -1), slots))
	}
	for evicted := range resident {
		best = min(best, fewestMisses(requests[1:], withAdapter(resident, adapter, evicted), slots))
	}
	return 1 + best
}

func withAdapter(resident map[int]bool, added, removed int) map[int]bool {
	next := map[int]bool{added: true}
	for adapter := range resident {
		if adapter != removed {
			next[adapter] = true
		}
	}
	return next
}

// TestPrint checks the line format that scripts parse, and that a value outside its
// bound is reported as failed.
func TestPrint(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	pass, err := PrintAll(&out, []Figure{
		{Name: "a", Value: 1, Unit: "us", Bound: 2, Beside: "x=3"},
		{Name: "b", Value: 1, Unit: "ratio", Bound: 2, AtLeast: true, Beside: "-"},
		infoFigure("c", 1, "s", "-"),
	})
	is.NoErr(err)
	is.True(!pass)
	is.Equal(strings.Split(out.String(), "\n"), []string{"a 1 us <=2 PASS x=3", "b 1 ratio >=2 FAIL -", "c 1 s - INFO -", ""})
}
