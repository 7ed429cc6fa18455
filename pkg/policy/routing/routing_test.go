package routing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/policy/routing"
)

// TestRouting guards against estimates that ignore the queue or the prefix cache, against
// outdated cache events that take effect, and against selecting a group in another zone
// although the one in the zone of the entry VM is available.
func TestRouting(t *testing.T) {
	var cache routing.PrefixCache
	datadriven.RunTest(t, "testdata/routing", func(t *testing.T, line *datadriven.TestData) string {
		number := func(key string) (value float64) {
			line.MaybeScanArgs(t, key, &value)
			return value
		}
		switch line.Cmd {
		case "first":
			var model routing.LatencyModel
			load := routing.Load{InFlight: int(number("flight")), Extra: int(number("extra")), BatchSize: int(number("batch"))}
			return fmt.Sprintf("%v room=%v", model.FirstToken(load, number("matched")), load.HasCapacity())
		case "event":
			cache.Apply([]routing.CacheEvent{{Sequence: uint64(number("sequence")), Prefix: uint64(number("prefix")), Added: number("dropped") == 0}})
			return ""
		case "matched":
			var hashes []uint64
			for _, argument := range line.CmdArgs {
				var hash uint64
				_, _ = fmt.Sscan(argument.Key, &hash)
				hashes = append(hashes, hash)
			}
			return fmt.Sprintf("%.3f", cache.Matched(hashes))
		case "reset":
			cache.Reset()
			return ""
		default:
			return selectGroup(line.Input)
		}
	})
}

func selectGroup(input string) string {
	var groups []routing.Group
	for _, line := range strings.Split(input, "\n") {
		var group routing.Group
		var delay, wait int
		_, _ = fmt.Sscanf(line, "own=%t delay=%d wait=%d refused=%t reachable=%t", &group.Own, &delay, &wait, &group.Refused, &group.Reachable)
		group.Delay, group.Wait = time.Duration(delay)*time.Millisecond, time.Duration(wait)*time.Millisecond
		groups = append(groups, group)
	}
	return fmt.Sprint(routing.SelectGroup(groups))
}

// TestHistory guards against comparing a load report with the calls in flight at another
// time than that of the report.
func TestHistory(t *testing.T) {
	is := is.New(t)
	var history routing.History
	start := time.Unix(1000, 0)
	is.Equal(history.At(start), 0)
	history.Set(start, 1)
	history.Set(start.Add(time.Second), 5)
	is.Equal(history.At(start.Add(500*time.Millisecond)), 1)
	is.Equal(history.At(start.Add(2*time.Second)), 5)
	history.Set(start.Add(time.Minute), 7)
	is.Equal(history.At(start), 5) // before the oldest bucket
	is.Equal(history.At(start.Add(time.Hour)), 7)
}
