package throttle

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against more requests than an upstream takes, against a limit that
// leaves it none, and against a limit that outlives its statement.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := &Table{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			now, age, wait := duration(t, data, "at"), duration(t, data, "age"), duration(t, data, "wait")
			name, rate, _ := strings.Cut(data.Input, " ")
			process := Process{Upstream: core.UpstreamID(name), Born: 1}
			switch data.Cmd {
			case "state":
				limit := core.RequestLimit{Stated: rate != ""}
				if limit.Stated {
					value, err := strconv.ParseFloat(rate, 64)
					if err != nil {
						t.Fatal(err)
					}
					limit.Rate = core.RequestsPerSecond(value)
				}
				return fmt.Sprintln(table.Observe(now, Statement{Process: process, Limit: limit, Age: age}))
			case "reserve":
				count := 1
				data.MaybeScanArgs(t, "count", &count)
				var out strings.Builder
				for range count {
					left, ok := table.Reserve(now, process, wait)
					fmt.Fprintln(&out, ok, left)
				}
				return out.String()
			case "statements":
				return fmt.Sprintln(table.Statements(now))
			default:
				return "unknown command\n"
			}
		})
	})
}

// duration returns an argument of a command, zero if it is missing.
func duration(t *testing.T, data *datadriven.TestData, name string) time.Duration {
	for _, arg := range data.CmdArgs {
		if arg.Key == name {
			value, err := time.ParseDuration(arg.Vals[0])
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
	}
	return 0
}

// TestRate guards against a window in which an upstream gets more turns than its rate, in
// whatever order the turns are asked for, and against a rate that is never reached.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := core.RequestsPerSecond(rapid.Float64Range(0, 1000).Draw(t, "rate"))
		bucket := &Bucket{}
		now := time.Duration(0)
		var turns []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "questions") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)/4).Draw(t, "pause"))
			if left, ok := bucket.Reserve(now, Interval(rate), time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait"))); ok {
				turns = append(turns, now+left)
			}
		}
		const window = 4 * time.Second
		allowed := int(math.Ceil(window.Seconds()*float64(max(minRate, rate)))) + 1
		for i := range turns {
			if j := i + allowed; j < len(turns) && turns[j]-turns[i] < window {
				t.Fatalf("%d turns in %v at a rate of %v", allowed+1, turns[j]-turns[i], rate)
			}
		}
		if left, ok := bucket.Reserve(now, Interval(rate), time.Hour); !ok || left > time.Second+2*Interval(rate) {
			t.Fatalf("the next turn at a rate of %v comes only after %v", rate, left)
		}
	})
}

// TestTableBounds guards against statements about ever new upstreams that fill the memory of
// a control VM.
func TestTableBounds(t *testing.T) {
	table := &Table{}
	for i := range 2 * maxEntries {
		table.Observe(0, Statement{Process: Process{Upstream: core.UpstreamID(fmt.Sprint("u", i))}, Limit: core.RequestLimit{Stated: true}})
	}
	if len(table.entries) > maxEntries {
		t.Fatalf("%d upstreams are kept", len(table.entries))
	}
	table.Observe(memory, Statement{Process: Process{Upstream: "u"}})
	if len(table.entries) != 1 {
		t.Fatalf("%d upstreams are kept after their time", len(table.entries))
	}
}
