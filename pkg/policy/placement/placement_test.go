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

const load = 250 * time.Millisecond

// TestPlacement guards against loads in the wrong order, victims that are worth more
// than others, copies that swap places without a gain, and retries without a pause.
func TestPlacement(t *testing.T) {
	datadriven.RunTest(t, "testdata/placement", func(t *testing.T, line *datadriven.TestData) string {
		number := func(key string) (value float64) {
			line.MaybeScanArgs(t, key, &value)
			return value
		}
		switch line.Cmd {
		case "before":
			return fmt.Sprint(demand(number, "").Before(demand(number, "other-")))
		case "cost":
			site := placement.Site{
				Keep: core.RequestsPerSecond(number("keep")), Others: int(number("others")),
				FirstToken: time.Duration(number("millis")) * time.Millisecond, Fill: number("fill"), Avoid: number("avoid") > 0,
			}
			return fmt.Sprintf("%.3f", placement.Cost(site, number("work"), load, batching.Setting{StallWeight: number("weight")}))
		case "worth":
			return fmt.Sprint(placement.Worth(core.RequestsPerSecond(number("gain")), core.RequestsPerSecond(number("keep"))))
		case "backoff":
			return fmt.Sprintf("%v gives up: %v", placement.Backoff(int(number("failures"))), placement.GivesUp(int(number("failures"))))
		default:
			return fmt.Sprint(placement.WantsCopy(time.Duration(number("millis"))*time.Millisecond, load))
		}
	})
}

func demand(number func(string) float64, prefix string) placement.Demand {
	return placement.Demand{
		Priority: core.Priority(number(prefix + "priority")), Waiting: int(number(prefix + "waiting")),
		Arrivals: number(prefix + "arrivals"), Copies: int(number(prefix + "copies")),
		Since: time.Unix(int64(number(prefix+"since")), 0),
	}
}
