package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// benchUpstreams is the number of upstreams at which a selection may take 5 us, without
// allocation.
const benchUpstreams = 600

// busyTable returns a table of engines of different speeds and shares, all with the weights.
func busyTable(weights core.WeightKey) *Table {
	table := NewTable("z0")
	for i := range benchUpstreams {
		id := core.UpstreamID(fmt.Sprint("engine-", i))
		table.SetInstance(time.Second, core.Instance{
			Upstream: id, Born: 1, Sequence: 1, Service: "s", Address: fmt.Sprint("a", i), Zone: core.ZoneID(fmt.Sprint("z", i%4)), Slots: 24,
			Models: []core.ModelResidency{{Model: weights.Model, Adapters: map[core.AdapterID]core.Revision{weights.Adapter: 1}}},
		})
		known := table.upstreams[id]
		known.otherRunning, known.speed, known.open, known.draw = i%30, 0.5+float64(i%4)/2, 1, float64(i%7)/7
		if i%10 == 0 {
			known.open = 0.25
		}
		table.updateBound(known)
	}
	table.SetEntryVMs(63)
	return table
}

func BenchmarkSelect(b *testing.B) {
	weights := core.WeightKey{Model: "m", Adapter: "a"}
	for name, query := range map[string]Query{
		"plain": {Service: "s"}, "engine": {Service: "s", Weights: weights, Tokens: 4000},
	} {
		b.Run(name, func(b *testing.B) {
			table := busyTable(weights)
			b.ReportAllocs()
			for b.Loop() {
				selected, ok := table.Select(2*time.Second, query)
				if !ok {
					b.Fatal("no upstream")
				}
				table.Finish(selected)
			}
		})
	}
}

// TestSelectAllocates guards against a selection that allocates for each request.
func TestSelectAllocates(t *testing.T) {
	weights := core.WeightKey{Model: "m", Adapter: "a"}
	table := busyTable(weights)
	allocations := testing.AllocsPerRun(100, func() {
		selected, _ := table.Select(2*time.Second, Query{Service: "s", Weights: weights})
		table.Finish(selected)
	})
	if allocations > 0 {
		t.Fatalf("a selection allocates %v times", allocations)
	}
}
