package batching_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/policy/batching"
)

// TestSetting guards against a StallWeight of 1 that still prefers full batches, a
// preference for fuller batches that delays a request by more than the target for the
// first token, and a delay of a request that no other is expected to join.
func TestSetting(t *testing.T) {
	datadriven.RunTest(t, "testdata/setting", func(t *testing.T, data *datadriven.TestData) string {
		var weight float64
		var millis int
		data.ScanArgs(t, "weight", &weight)
		data.ScanArgs(t, "millis", &millis)
		setting := batching.Setting{StallWeight: weight}
		duration := time.Duration(millis) * time.Millisecond
		if data.Cmd == "hold" {
			var arrivals float64
			data.ScanArgs(t, "arrivals", &arrivals)
			return setting.BatchDelay(arrivals, duration).String()
		}
		var fill float64
		data.ScanArgs(t, "fill", &fill)
		return fmt.Sprintf("%.3f", setting.Cost(duration, fill))
	})
}
