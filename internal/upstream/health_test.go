package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestHealth guards against an upstream that announces itself but fails every call
// and still gets new work.
func TestHealth(t *testing.T) {
	var health health
	datadriven.RunTest(t, "testdata/health", func(t *testing.T, line *datadriven.TestData) string {
		var millis int
		line.ScanArgs(t, "at", &millis)
		now := time.Unix(1_000_000, 0).Add(time.Duration(millis) * time.Millisecond)
		switch line.Cmd {
		case "failed":
			health.failed("one", line.HasArg("crashed"), now)
		case "succeeded":
			health.succeeded("one")
		}
		return fmt.Sprintf("ejected=%t\n", health.ejected("one", now))
	})
}
