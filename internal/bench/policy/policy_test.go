package policy

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// small is a fleet that runs in a moment and has bursts, restarts and failures.
func small(exponent float64) Setup {
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

// TestRuns guards against a scheduler or a baseline that evicts under a call, sends
// to an engine without the adapter or loses calls in the presence of restarts, and
// against figures that differ between runs of one seed.
func TestRuns(t *testing.T) {
	is := is.New(t)
	setup := small(1)
	calls := len(setup.Workload.requests(placementSeed))
	for _, play := range []func() Result{
		func() Result { return RunScheduler(setup, stallWeight1, placementSeed) },
		func() Result { return RunScheduler(setup, 0, placementSeed) },
		func() Result { return RunBaseline(setup, LeastLoaded, placementSeed) },
		func() Result { return RunBaseline(setup, LeastLoadedCopy, placementSeed) },
		func() Result { return RunBaseline(setup, StaticHash, placementSeed) },
	} {
		result := play()
		is.Equal(result, play())
		is.Equal(result.Violations, 0)
		is.Equal(result.Unaccounted, 0)
		is.Equal(result.Answered+result.Refused, calls)
	}
}

// TestBounds guards against a bound that is above what a policy reached, which
// would prove that it is no bound.
func TestBounds(t *testing.T) {
	is := is.New(t)
	for _, exponent := range exponents {
		setup := small(exponent)
		requests := setup.Workload.requests(placementSeed)
		reached := RunScheduler(setup, 1, placementSeed).TotalWait
		is.True(clairvoyantWait(requests, setup.Engines*setup.Slots, loadTime) <= reached)
		is.True(pricedWait(setup, requests) <= reached)
	}
}

// TestClairvoyant guards against a wrong rule of eviction: for short sequences the
// number of misses is compared with that of a search over all choices.
func TestClairvoyant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var requests []request
		for i := range rapid.IntRange(1, 9).Draw(t, "requests") {
			requests = append(requests, request{at: time.Duration(i) * time.Second, adapter: rapid.IntRange(0, 4).Draw(t, "adapter")})
		}
		places := rapid.IntRange(1, 3).Draw(t, "places")
		want := fewest(requests, map[int]bool{}, places)
		if got := clairvoyantWait(requests, places, loadTime); got != time.Duration(want)*loadTime {
			t.Fatalf("got %v, want %d loads", got, want)
		}
	})
}

func fewest(requests []request, resident map[int]bool, places int) int {
	if len(requests) == 0 {
		return 0
	}
	adapter := requests[0].adapter
	if resident[adapter] {
		return fewest(requests[1:], resident, places)
	}
	best := fewest(requests[1:], resident, places)
	if len(resident) < places {
		best = min(best, fewest(requests[1:], with(resident, adapter, -1), places))
	}
	for victim := range resident {
		best = min(best, fewest(requests[1:], with(resident, adapter, victim), places))
	}
	return 1 + best
}

func with(resident map[int]bool, added, removed int) map[int]bool {
	next := map[int]bool{added: true}
	for adapter := range resident {
		if adapter != removed {
			next[adapter] = true
		}
	}
	return next
}

// TestPrint guards against a line that scripts cannot read, and against a missed
// bound that is not told.
func TestPrint(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	pass, err := PrintAll(&out, []Figure{
		{Name: "a", Value: 1, Unit: "us", Bound: 2, Beside: "x=3"},
		{Name: "b", Value: 1, Unit: "ratio", Bound: 2, AtLeast: true, Beside: "-"},
		info("c", 1, "s", "-"),
	})
	is.NoErr(err)
	is.True(!pass)
	is.Equal(strings.Split(out.String(), "\n"), []string{"a 1 us <=2 PASS x=3", "b 1 ratio >=2 FAIL -", "c 1 s - INFO -", ""})
}
