package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestLook guards against a look that counts a request, one that hides a free slot in another zone,
// and against a VM that does not report on while all slots are taken.
func TestLook(t *testing.T) {
	is := is.New(t)
	table := NewTable("z")
	table.SetRoutes(core.RouteTable{Number: 1, Services: []core.ServiceSpec{{Service: "s"}}})
	for i, zone := range []core.ZoneID{"z", "y"} {
		table.SetInstance(0, core.Instance{Upstream: core.UpstreamID([]string{"near", "far"}[i]), Born: 1, Sequence: 1, Service: "s", Zone: zone, Address: string(zone), Slots: 4})
	}
	query := Query{Service: "s"}
	now := time.Second
	for range 3 {
		outlook, ok := table.Look(now, query)
		is.True(ok)
		is.Equal(outlook.Requests, 0)
		is.Equal(outlook.Slots, 8)
		is.Equal(outlook.Load, 0.25)
	}
	is.True(table.collectUsage(now, "vm", "z") != nil) // the first report
	is.True(table.collectUsage(now, "vm", "y") == nil) // nothing has changed there

	table.setOtherRunning("z", &wire.UsageResult{Upstreams: []*wire.UpstreamUse{{Upstream: "near", Running: 4}}})
	outlook, _ := table.Look(now, query)
	is.Equal(outlook.Best.Upstream, core.UpstreamID("far")) // 1.25 near, 0.25 and the cost of the zone far
	is.Equal(outlook.Load, 0.25)
	is.True(table.collectUsage(now, "vm", "z") == nil) // half of the slots are free

	table.setOtherRunning("y", &wire.UsageResult{Upstreams: []*wire.UpstreamUse{{Upstream: "far", Running: 6}}})
	outlook, _ = table.Look(now, query)
	is.Equal(outlook.Requests, 10)
	is.True(outlook.Load > 1)
	is.True(table.collectUsage(now, "vm", "y") != nil) // none is free, so the next report is due
	select {
	case <-table.Reported():
	default:
		is.Fail() // the waiting requests were not told of the report
	}
}

// TestLookBesideHung guards against free slots that are taken for used ones since another upstream
// of the service keeps its requests and answers none.
func TestLookBesideHung(t *testing.T) {
	table := NewTable("z")
	table.SetRoutes(core.RouteTable{Number: 1, Services: []core.ServiceSpec{{Service: "s"}}})
	for _, id := range []core.UpstreamID{"u0", "u1", "u2"} {
		table.SetInstance(0, core.Instance{Upstream: id, Born: 1, Sequence: 1, Service: "s", Zone: "z", Address: string(id), Slots: 6})
	}
	result := &wire.UsageResult{Paced: true, Times: true}
	for i, running := range []uint32{140, 1, 1} {
		result.Upstreams = append(result.Upstreams, &wire.UpstreamUse{Upstream: []string{"u0", "u1", "u2"}[i], Running: running, AnswerMicros: 30_000})
	}
	for range 3 {
		table.setOtherRunning("z", result)
		table.refreshPace(table.othersAt["z"])
	}
	outlook, ok := table.Look(table.othersAt["z"], Query{Service: "s"})
	// A quarter of an objective of 150 ms is kept: left are 82 ms, 2.75 services of 30 ms. Requests in
	// time are sent up to a load of 3.75, and VMs need turns from half of that queue.
	if !ok || outlook.Load > 3.75 || float64(outlook.Requests) > 2.375*float64(outlook.Slots) {
		t.Errorf("load %.2f of %s, %d requests at %d slots", outlook.Load, outlook.Best.Upstream, outlook.Requests, outlook.Slots)
	}
	chosen := 0
	for range 30 {
		selected, _ := table.Select(table.othersAt["z"], Query{Service: "s"})
		if selected.Upstream == "u0" {
			chosen++
		}
		table.Finish(selected)
	}
	if chosen > 0 {
		t.Errorf("the one that does not answer was chosen %d times of 30", chosen)
	}
}

// TestReportBesideStart guards against an upstream in its start phase that is given as many of the
// reported requests as the others, and so gets no work while they are overloaded.
func TestReportBesideStart(t *testing.T) {
	table := NewTable("z")
	table.SetRoutes(core.RouteTable{Number: 1, Services: []core.ServiceSpec{{Service: "s"}}})
	result := &wire.UsageResult{}
	for _, id := range []core.UpstreamID{"u0", "u1", "u2"} {
		table.SetInstance(0, core.Instance{Upstream: id, Born: 1, Sequence: 1, Service: "s", Zone: "z", Address: string(id), Slots: 6})
		table.upstreams[id].service = 30 * time.Millisecond
		result.Upstreams = append(result.Upstreams, &wire.UpstreamUse{Upstream: string(id), Running: 10})
	}
	result.Upstreams[2].Running = 0
	table.upstreams["u2"].open = 0.5
	table.setOtherRunning("z", result)
	if start, other := table.pacedCandidate(table.upstreams["u2"]).Load(), table.pacedCandidate(table.upstreams["u0"]).Load(); start > other+1/3.0 {
		t.Fatalf("the load in the start phase is %.2f, and %.2f at the others", start, other)
	}
}
