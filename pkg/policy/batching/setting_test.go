package batching_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/policy/batching"
)

// TestSetting guards against a StallWeight of 1 that still prefers full batches,
// against a preference for fill that costs more than the target for the first token,
// and against a hold back that does not pay.
func TestSetting(t *testing.T) {
	datadriven.RunTest(t, "testdata/setting", func(t *testing.T, line *datadriven.TestData) string {
		var weight float64
		var millis int
		line.ScanArgs(t, "weight", &weight)
		line.ScanArgs(t, "millis", &millis)
		setting := batching.Setting{StallWeight: weight}
		span := time.Duration(millis) * time.Millisecond
		if line.Cmd == "hold" {
			var arrivals float64
			line.ScanArgs(t, "arrivals", &arrivals)
			return setting.Hold(arrivals, span).String()
		}
		var fill float64
		line.ScanArgs(t, "fill", &fill)
		return fmt.Sprintf("%.3f", setting.Cost(span, fill))
	})
}
