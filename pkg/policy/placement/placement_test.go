package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/placement"
)

const loadTime = 250 * time.Millisecond

// TestPlacement guards against loads in the wrong order, evictions of copies with a
// higher value than others, adapters that replace each other without a gain, and
// retries without a delay.
func TestPlacement(t *testing.T) {
	datadriven.RunTest(t, "testdata/placement", func(t *testing.T, data *datadriven.TestData) string {
		floatArg := func(key string) (value float64) {
			data.MaybeScanArgs(t, key, &value)
			return value
		}
		switch data.Cmd {
		case "before":
			return fmt.Sprint(parseDemand(floatArg, "").Before(parseDemand(floatArg, "other-")))
		case "cost":
			slot := placement.CandidateSlot{
				Keep: core.RequestsPerSecond(floatArg("keep")), Others: int(floatArg("others")),
				FirstToken: time.Duration(floatArg("millis")) * time.Millisecond, Fill: floatArg("fill"), Avoid: floatArg("avoid") > 0,
			}
			return fmt.Sprintf("%.3f", placement.LoadCost(slot, floatArg("work"), loadTime, batching.Setting{StallWeight: floatArg("weight")}))
		case "worth":
			return fmt.Sprint(placement.ShouldPrefetch(core.RequestsPerSecond(floatArg("gain")), core.RequestsPerSecond(floatArg("keep"))))
		case "backoff":
			return fmt.Sprintf("%v gives up: %v", placement.Backoff(int(floatArg("failures"))), placement.RetriesExhausted(int(floatArg("failures"))))
		default:
			return fmt.Sprint(placement.NeedsExtraCopy(time.Duration(floatArg("millis"))*time.Millisecond, loadTime))
		}
	})
}

func parseDemand(floatArg func(string) float64, prefix string) placement.Demand {
	return placement.Demand{
		Priority: core.Priority(floatArg(prefix + "priority")), Waiting: int(floatArg(prefix + "waiting")),
		Arrivals: floatArg(prefix + "arrivals"), Copies: int(floatArg(prefix + "copies")),
		Since: time.Unix(int64(floatArg(prefix+"since")), 0),
	}
}
