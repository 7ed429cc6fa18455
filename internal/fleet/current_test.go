package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
)

// TestCurrent guards against a request that is sent to an upstream which has changed since it was
// selected, and against one that asks for an older revision of its weights than the newest one.
func TestCurrent(t *testing.T) {
	datadriven.RunTest(t, "testdata/current", func(t *testing.T, data *datadriven.TestData) string {
		table := NewTable("z")
		key := core.WeightKey{Model: "m", Adapter: "a"}
		instance := core.Instance{
			Upstream: "u", Born: 1, Sequence: 1, Service: "s", Software: "v1", Address: "x:1", Zone: "z", Slots: 4,
			Models: []core.ModelResidency{{Model: "m", Adapters: map[core.AdapterID]core.Revision{"a": 3}}},
		}
		table.SetInstance(0, instance)
		table.SetRevision(key, 3)
		selected, ok := table.Select(0, Query{Service: "s", Weights: key})
		if !ok {
			t.Fatal("the upstream is not selected")
		}
		departed := table.departure(selected)
		instance.Sequence++
		for field := range strings.FieldsSeq(data.Input) {
			switch field {
			case "leaving":
				instance.Leaving = true
			case "gone":
				instance.Gone = true
			case "restarted":
				instance.Born++
			case "moved":
				instance.Address = "x:2"
			case "software":
				instance.Software = "v2"
			case "ended":
				table.MarkEnded(selected)
			case "revised":
				table.SetRevision(key, 4)
			case "loaded":
				table.SetResidency(residency.Change{Upstream: "u", Born: 1, Whole: true, Added: []residency.Holding{{Weights: key, Revision: 4}}}, 1)
			}
		}
		table.SetInstance(time.Second, instance)
		woken := false
		select {
		case <-departed:
			woken = true
		default:
		}
		current, ok := table.Current(selected)
		return fmt.Sprintf("current=%t revision=%d woken=%t\n", ok, current.Revision, woken)
	})
}
