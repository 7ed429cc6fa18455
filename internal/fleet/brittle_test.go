package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestBrittleAfterIdleTime guards against a VM without a share of the slots of a brittle upstream
// that never sends there again, since it has nothing to report and so hears of no free slots.
func TestBrittleAfterIdleTime(t *testing.T) {
	is := is.New(t)
	const slots, vms = 6, 194
	now := clock.Now()
	query := Query{Service: "s"}
	waiting := 0
	for i := range vms {
		table := NewTable("other")
		table.setVM(core.VMID(fmt.Sprint("entry", i)))
		table.SetInstance(now, core.Instance{Upstream: "u", Born: 1, Sequence: 1, Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: slots})
		table.SetEntryVMs(vms)
		first, ok := table.Select(now, query)
		is.True(ok)
		table.ObserveBrittle(now, first, core.RejectionLimit{Stated: true, Rate: 4}, false)
		table.Finish(first)
		is.True(table.collectUsage(now, table.vm, "z") != nil)
		if _, ok := table.Select(now, query); ok {
			continue
		}
		waiting++
		held := table.HeldBack(now, query)
		is.Equal(len(held), 1)
		is.True(held[0].Full && held[0].Wait <= 100*time.Millisecond) // the next report may show room
		is.True(table.collectUsage(now, table.vm, "z") != nil)
		table.setOtherRunning("z", &wire.UsageResult{})
		_, ok = table.Select(clock.Now(), query)
		is.True(ok)
	}
	is.True(waiting >= vms-2*slots) // without reports, the VMs share the slots
}

// TestBrittleEnds guards against a service that counts as brittle although its upstreams say so
// no more, or have said nothing for a while.
func TestBrittleEnds(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	table := NewTable("z")
	table.SetInstance(now, core.Instance{Upstream: "u", Born: 1, Sequence: 1, Service: "s", Address: "127.0.0.1:1", Zone: "z"}) // no slots are known
	table.SetEntryVMs(7)
	query := Query{Service: "s"}
	selected, ok := table.Select(now, query)
	is.True(ok)
	limit := core.RejectionLimit{Stated: true, Rate: 4}
	_, changed := table.ObserveBrittle(now, selected, limit, true)
	is.True(changed)
	_, ok = table.Select(now, query)
	is.True(!ok) // a risk, and one that would be taken too soon
	_, changed = table.ObserveBrittle(now, selected, limit, false)
	is.True(!changed)
	_, ok = table.Select(now+brittleMemory, query)
	is.True(ok)
	before, changed := table.ObserveBrittle(now, selected, core.RejectionLimit{}, false)
	is.True(changed && before == limit)
	_, ok = table.Select(now, query)
	is.True(ok)
}
