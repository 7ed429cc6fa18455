package store

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestLimits checks that loads above the rate limit are refused and counted, and
// that loads slow down above the limit of concurrent loads.
func TestLimits(t *testing.T) {
	store := New(Settings{LoadsPerSecond: 2, FullSpeed: 2, LoadTime: 250 * time.Millisecond})
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, line *datadriven.TestData) string {
		var millis int
		line.MaybeScanArgs(t, "at", &millis)
		switch line.Cmd {
		case "load":
			duration, status := store.startLoad(time.Unix(1_000_000, 0).Add(time.Duration(millis) * time.Millisecond))
			return fmt.Sprintln(status, http.StatusText(status), duration)
		case "done":
			store.finishLoad()
		case "state":
			store.state = State{Full: line.HasArg("full"), Unavailable: line.HasArg("unavailable")}
		}
		return fmt.Sprintf("%+v\n", store.counts)
	})
}
