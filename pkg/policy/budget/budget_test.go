package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// TestScript guards against loads beyond the share after it changed, a reserved start
// that another load takes, and a wrong time of the next start.
func TestScript(t *testing.T) {
	now := start
	loads := budget.New(budget.Share{PerSecond: 2, Concurrent: 2, Transits: 2, LoadTime: 250 * time.Millisecond}, now)
	datadriven.RunTest(t, "testdata/budget", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "take":
			return fmt.Sprint(loads.Take(now))
		case "done":
			loads.EndLoad()
		case "reserve":
			loads.Reserve()
		case "unreserve":
			loads.Unreserve()
		case "after":
			elapsed, err := time.ParseDuration(data.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(elapsed)
		case "share":
			var rate, concurrent int
			data.ScanArgs(t, "rate", &rate)
			data.ScanArgs(t, "concurrent", &concurrent)
			loads.SetShare(budget.Share{PerSecond: core.LoadsPerSecond(rate), Concurrent: concurrent, Transits: 1, LoadTime: 250 * time.Millisecond}, now)
		case "next":
			next, ok := loads.NextStart(now)
			if !ok {
				return "after a load ends or the share changes"
			}
			return next.Sub(now).String()
		case "expected":
			return loads.ExpectedLoadTime().String()
		}
		return fmt.Sprintf("in transit: %d", loads.InTransit())
	})
}

// TestRate guards against more starts in any period than the rate and the burst allow,
// and against a time from NextStart at which a load is not allowed.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := budget.Share{PerSecond: core.LoadsPerSecond(rapid.Float64Range(0.1, 20).Draw(t, "rate")), Concurrent: rapid.IntRange(0, 5).Draw(t, "concurrent")}
		now := start
		loads := budget.New(share, now)
		var starts []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond)
			if next, ok := loads.NextStart(now); ok && rapid.Bool().Draw(t, "wait") {
				now = next
				if !loads.Allows(now, 0) {
					t.Fatalf("NextStart returned a time at which no load is allowed")
				}
			}
			if loads.Take(now) {
				starts = append(starts, now)
			}
			if loads.InTransit() > 0 && rapid.Bool().Draw(t, "answer") {
				loads.EndLoad()
			}
		}
		for i, from := range starts {
			for j := i; j < len(starts); j++ {
				allowed := share.Burst() + starts[j].Sub(from).Seconds()*float64(share.PerSecond)
				if float64(j-i+1) > allowed+1e-3 {
					t.Fatalf("%d starts within %v", j-i+1, starts[j].Sub(from))
				}
			}
		}
	})
}
