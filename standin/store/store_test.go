package store

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestLimits guards against a store that hides loads beyond its rate, or that is as
// fast beyond its limit of loads in transit.
func TestLimits(t *testing.T) {
	store := New(Settings{LoadsPerSecond: 2, FullSpeed: 2, LoadTime: 250 * time.Millisecond})
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, line *datadriven.TestData) string {
		var millis int
		line.MaybeScanArgs(t, "at", &millis)
		switch line.Cmd {
		case "load":
			duration, status := store.begin(time.Unix(1_000_000, 0).Add(time.Duration(millis) * time.Millisecond))
			return fmt.Sprintln(status, http.StatusText(status), duration)
		case "done":
			store.end()
		case "state":
			store.state = State{Full: line.HasArg("full"), Unavailable: line.HasArg("unavailable")}
		}
		return fmt.Sprintf("%+v\n", store.counts)
	})
}
