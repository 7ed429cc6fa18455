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

// TestScript guards against loads beyond the share after it changed, against a
// reservation that another load takes, and against a wrong time of the next start.
func TestScript(t *testing.T) {
	now := start
	tokens := budget.New(budget.Share{PerSecond: 2, Concurrent: 2, Transits: 2, LoadTime: 250 * time.Millisecond}, now)
	datadriven.RunTest(t, "testdata/budget", func(t *testing.T, line *datadriven.TestData) string {
		switch line.Cmd {
		case "take":
			return fmt.Sprint(tokens.Take(now))
		case "done":
			tokens.Done()
		case "reserve":
			tokens.Reserve()
		case "unreserve":
			tokens.Unreserve()
		case "after":
			passed, err := time.ParseDuration(line.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(passed)
		case "share":
			var rate, concurrent int
			line.ScanArgs(t, "rate", &rate)
			line.ScanArgs(t, "concurrent", &concurrent)
			tokens.SetShare(budget.Share{PerSecond: core.LoadsPerSecond(rate), Concurrent: concurrent, Transits: 1, LoadTime: 250 * time.Millisecond}, now)
		case "next":
			next, ok := tokens.Next(now)
			if !ok {
				return "after an answer or a new share"
			}
			return next.Sub(now).String()
		case "expected":
			return tokens.Expected().String()
		}
		return fmt.Sprintf("in transit: %d", tokens.Transit())
	})
}

// TestRate guards against more starts in any span than the rate and the burst allow,
// and against a time of Next at which Take still fails.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := budget.Share{PerSecond: core.LoadsPerSecond(rapid.Float64Range(0.1, 20).Draw(t, "rate")), Concurrent: rapid.IntRange(0, 5).Draw(t, "concurrent")}
		now := start
		tokens := budget.New(share, now)
		var starts []time.Time
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond)
			if next, ok := tokens.Next(now); ok && rapid.Bool().Draw(t, "wait") {
				now = next
				if !tokens.Allows(now, 0) {
					t.Fatalf("no start at the time that Next named")
				}
			}
			if tokens.Take(now) {
				starts = append(starts, now)
			}
			if tokens.Transit() > 0 && rapid.Bool().Draw(t, "answer") {
				tokens.Done()
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
