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

// TestRouting guards against expected times that ignore the queue or the cache, cache
// events that count although they are old, and a group in another zone that is chosen
// without need.
func TestRouting(t *testing.T) {
	var prefixes routing.Prefixes
	datadriven.RunTest(t, "testdata/routing", func(t *testing.T, line *datadriven.TestData) string {
		number := func(key string) (value float64) {
			line.MaybeScanArgs(t, key, &value)
			return value
		}
		switch line.Cmd {
		case "first":
			var model routing.Model
			load := routing.Load{InFlight: int(number("flight")), Extra: int(number("extra")), BatchSize: int(number("batch"))}
			return fmt.Sprintf("%v room=%v", model.FirstToken(load, number("matched")), load.Room())
		case "event":
			prefixes.Apply([]routing.CacheEvent{{Sequence: uint64(number("sequence")), Prefix: uint64(number("prefix")), Added: number("dropped") == 0}})
			return ""
		case "matched":
			var hashes []uint64
			for _, argument := range line.CmdArgs {
				var hash uint64
				_, _ = fmt.Sscan(argument.Key, &hash)
				hashes = append(hashes, hash)
			}
			return fmt.Sprintf("%.3f", prefixes.Matched(hashes))
		case "reset":
			prefixes.Reset()
			return ""
		default:
			return pick(line.Input)
		}
	})
}

func pick(input string) string {
	var groups []routing.Group
	for _, line := range strings.Split(input, "\n") {
		var group routing.Group
		var delay, wait int
		_, _ = fmt.Sscanf(line, "own=%t delay=%d wait=%d refused=%t reachable=%t", &group.Own, &delay, &wait, &group.Refused, &group.Reachable)
		group.Delay, group.Wait = time.Duration(delay)*time.Millisecond, time.Duration(wait)*time.Millisecond
		groups = append(groups, group)
	}
	return fmt.Sprint(routing.PickGroup(groups))
}

// TestHistory guards against a load report that is compared with the sends of another
// time than its own.
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
	is.Equal(history.At(start), 5) // older than the history reaches
	is.Equal(history.At(start.Add(time.Hour)), 7)
}
