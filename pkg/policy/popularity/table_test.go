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

func name(adapter string) core.AdapterVersion {
	return core.AdapterVersion{Adapter: core.AdapterID(adapter), Version: "1"}
}

// TestRates guards against rates that do not follow a shift, and against an adapter
// that fell idle and keeps its forecast for minutes.
func TestRates(t *testing.T) {
	now := start
	table := popularity.New(start, 10)
	datadriven.RunTest(t, "testdata/rates", func(t *testing.T, line *datadriven.TestData) string {
		switch line.Cmd {
		case "observe":
			var count, every int
			line.ScanArgs(t, "count", &count)
			line.ScanArgs(t, "millis", &every)
			id, _ := table.ID(name(line.CmdArgs[0].Key))
			for range count {
				now = now.Add(time.Duration(every) * time.Millisecond)
				table.Observe(id, now)
			}
		case "after":
			passed, err := time.ParseDuration(line.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(passed)
		}
		text := ""
		for _, adapter := range []string{"a", "b"} {
			if id, known := table.Find(name(adapter)); known {
				text += fmt.Sprintf("%s short=%.4f forecast=%.4f\n", adapter, table.Short(id, now), table.Forecast(id, now))
			}
		}
		return text
	})
}

// TestMemory guards against a table that grows without bound, forgets a popular
// adapter before an unpopular one, or forgets one that is in use.
func TestMemory(t *testing.T) {
	is := is.New(t)
	table := popularity.New(start, 3)
	popular, _ := table.ID(name("popular"))
	held, _ := table.ID(name("held"))
	rare, _ := table.ID(name("rare"))
	for i := range 3 {
		table.Observe(popular, start.Add(time.Duration(i)*time.Second))
	}
	table.Observe(rare, start.Add(3*time.Second))
	table.Hold(held)
	id, fresh := table.ID(name("new"))
	is.True(fresh)
	is.Equal(id, rare) // the least popular one that is not held made room
	is.Equal(table.Len(), 3)
	table.Hold(id)
	table.Hold(popular)
	id, _ = table.ID(name("newer"))
	is.Equal(id, indexheap.None) // every entry is in use
	table.Release(popular)
	id, fresh = table.ID(name("newer"))
	is.True(fresh)
	is.Equal(id, popular)
}
