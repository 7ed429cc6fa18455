package popularity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
	"github.com/dandelionring/dandelionring/pkg/policy/popularity"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func adapterVersion(adapter string) core.AdapterVersion {
	return core.AdapterVersion{Adapter: core.AdapterID(adapter), Version: "1"}
}

// TestRates guards against rates that do not follow a shift of the requests to another
// adapter, and against a forecast that stays high for minutes after an adapter became
// idle.
func TestRates(t *testing.T) {
	now := start
	table := popularity.New(start, 10)
	datadriven.RunTest(t, "testdata/rates", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "observe":
			var count, intervalMillis int
			data.ScanArgs(t, "count", &count)
			data.ScanArgs(t, "millis", &intervalMillis)
			id, _ := table.ID(adapterVersion(data.CmdArgs[0].Key))
			for range count {
				now = now.Add(time.Duration(intervalMillis) * time.Millisecond)
				table.Observe(id, now)
			}
		case "after":
			elapsed, err := time.ParseDuration(data.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(elapsed)
		}
		output := ""
		for _, adapter := range []string{"a", "b"} {
			if id, known := table.Find(adapterVersion(adapter)); known {
				output += fmt.Sprintf("%s short=%.4f forecast=%.4f\n", adapter, table.ShortRate(id, now), table.Forecast(id, now))
			}
		}
		return output
	})
}

// TestMemory guards against a table that exceeds its limit, replaces a popular
// adapter before an unpopular one, or replaces one that is held.
func TestMemory(t *testing.T) {
	is := is.New(t)
	table := popularity.New(start, 3)
	popularID, _ := table.ID(adapterVersion("popular"))
	heldID, _ := table.ID(adapterVersion("held"))
	rareID, _ := table.ID(adapterVersion("rare"))
	for i := range 3 {
		table.Observe(popularID, start.Add(time.Duration(i)*time.Second))
	}
	table.Observe(rareID, start.Add(3*time.Second))
	table.Hold(heldID)
	id, created := table.ID(adapterVersion("new"))
	is.True(created)
	is.Equal(id, rareID) // the least popular entry that is not held was replaced
	is.Equal(table.Len(), 3)
	table.Hold(id)
	table.Hold(popularID)
	id, _ = table.ID(adapterVersion("newer"))
	is.Equal(id, indexheap.None) // every entry is held
	table.Release(popularID)
	id, created = table.ID(adapterVersion("newer"))
	is.True(created)
	is.Equal(id, popularID)
}
