package pace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against a speed that is learned from few answers or outlives them, against a
// start phase that begins without need, or never ends, and against a share that grows although the
// upstream is overloaded.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/tracker", func(t *testing.T, path string) {
		tracker := &Tracker{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var at float64
			text := ""
			data.ScanArgs(t, "at", &text)
			at = number(t, text)
			now := seconds(at)
			if data.HasArg("new") {
				tracker = &Tracker{}
			}
			for line := range strings.Lines(data.Input) {
				fields := strings.Fields(line)
				args := map[string]float64{"born": 1, "slots": 24, "times": 1}
				for _, field := range fields[1:] {
					name, value, _ := strings.Cut(field, "=")
					args[name] = number(t, value)
				}
				apply(tracker, data.Cmd, now, core.UpstreamID(fields[0]), args)
			}
			return state(tracker, now)
		})
	})
}

// apply sets an upstream, or observes answers at it. Times are in milliseconds.
func apply(tracker *Tracker, command string, now time.Duration, id core.UpstreamID, args map[string]float64) {
	switch command {
	case "set":
		tracker.Set(now, State{Upstream: id, Born: int64(args["born"]), Slots: int(args["slots"]), Silent: args["silent"] == 1})
	case "remove":
		tracker.Remove(id)
	case "reference":
		tracker.SetReference(now, Times{Answer: seconds(args["answer"] / 1000), Pause: seconds(args["pause"] / 1000)})
	case "observe":
		count, pauses := int(args["count"]), int(args["pauses"])
		tracker.Observe(now, id, int64(args["born"]), Answers{
			Count: count, Total: seconds(args["answer"]/1000) * time.Duration(count), Untimed: int(args["untimed"]),
			Pauses: pauses, PauseTotal: seconds(args["pause"]/1000) * time.Duration(pauses),
			Rejections: int(args["rejections"]), Failures: int(args["failures"]),
		})
	}
}

// state returns what the tracker knows of its upstreams, and the changes since the last call.
func state(tracker *Tracker, now time.Duration) string {
	var out strings.Builder
	for _, change := range tracker.TakeChanges(now) {
		switch change.Kind {
		case Began:
			fmt.Fprintf(&out, "%s begins: %s\n", change.Upstream, change.Cause)
		case Ended:
			fmt.Fprintf(&out, "%s has ended its start\n", change.Upstream)
		case ClassChanged:
			fmt.Fprintf(&out, "%s is %s\n", change.Upstream, change.Class)
		}
	}
	for _, id := range tracker.Upstreams(now) {
		value, _ := tracker.Value(now, id)
		fmt.Fprintf(&out, "%s speed=%.2f open=%.2f\n", id, tracker.Speed(now, id), value.Open)
	}
	return out.String()
}

// TestUnhindered guards against times that include the wait for a slot.
func TestUnhindered(t *testing.T) {
	for requests, want := range map[int]bool{0: true, 2: true, 3: false, 6: false} {
		if Unhindered(requests, 6) != want {
			t.Fatalf("%d requests at 6 slots: %v", requests, !want)
		}
	}
}
