package reach

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against a VM that does not notice that it reaches no upstream, against one
// that takes ended upstreams or a single silent one for a partition, and against a rush of
// requests to upstreams that are reached again. Each line of a script is an event with its time
// in milliseconds; the output holds the state after each line.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			service, known := &Service{}, 5
			data.MaybeScanArgs(t, "known", &known)
			var out strings.Builder
			for line := range strings.Lines(data.Input) {
				result := step(t, service, known, strings.Fields(line))
				fmt.Fprintf(&out, "%s: %v%s\n", strings.TrimSpace(line), service.State(), result)
			}
			return out.String()
		})
	})
}

// step applies one event: its time, its name, and for a failure the upstream and, if that is not
// the same time, the time at which it began.
func step(t *testing.T, service *Service, known int, fields []string) string {
	now := millis(t, fields[0])
	failure := Failure{Began: now, Known: known}
	if len(fields) > 2 {
		failure.Upstream = core.UpstreamID(fields[2])
	}
	if len(fields) > 3 {
		failure.Began = millis(t, fields[3])
	}
	switch fields[1] {
	case "refused":
		failure.Kind = Refused
	case "timed-out":
		failure.Kind = TimedOut
	case "lost":
		failure.Kind = Lost
	case "probe-refused":
		failure.Kind = Refused
		service.ProbeFailed(now, failure)
		return ""
	case "probe-timed-out":
		failure.Kind = TimedOut
		service.ProbeFailed(now, failure)
		return ""
	case "doubt":
		service.Doubt(now)
		return ""
	case "opened":
		service.Opened(now)
		return ""
	case "answered":
		service.Answered(now)
		return ""
	case "enter":
		state, turn := service.Enter()
		return fmt.Sprint(" for it ", state, " turn ", turn)
	case "leave": // the turn
		turn, _ := strconv.Atoi(fields[2])
		service.Leave(Turn(turn))
		return ""
	case "probe":
		wait, due := service.Probing(now)
		if !due {
			return " no probe"
		}
		if wait > 0 {
			return fmt.Sprint(" wait ", wait)
		}
		var ids []core.UpstreamID
		for i := range known {
			ids = append(ids, core.UpstreamID(fmt.Sprint("u", i)))
		}
		return fmt.Sprint(" at ", service.Probe(now, ids))
	default:
		t.Fatalf("unknown event %q", fields[1])
	}
	service.Failed(now, failure)
	return ""
}

func millis(t *testing.T, text string) time.Duration {
	span, err := time.ParseDuration(text + "ms")
	if err != nil {
		t.Fatal(err)
	}
	return span
}
