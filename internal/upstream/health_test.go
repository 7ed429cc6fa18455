package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestHealth guards against an upstream that announces itself but fails every call and
// still gets new calls.
func TestHealth(t *testing.T) {
	var tracker healthTracker
	datadriven.RunTest(t, "testdata/health", func(t *testing.T, data *datadriven.TestData) string {
		var millis int
		data.ScanArgs(t, "at", &millis)
		now := time.Unix(1_000_000, 0).Add(time.Duration(millis) * time.Millisecond)
		switch data.Cmd {
		case "failed":
			tracker.recordFailure("one", data.HasArg("crashed"), now)
		case "succeeded":
			tracker.recordSuccess("one")
		}
		return fmt.Sprintf("ejected=%t\n", tracker.isEjected("one", now))
	})
}
