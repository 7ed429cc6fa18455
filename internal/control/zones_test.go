package control

import (
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
)

// ownerOf returns a control VM that owns the given zones, each with one engine named after
// it that holds the base model m and the adapters.
func ownerOf(adapters map[core.ZoneID][]core.AdapterID) *Control {
	control := New(Options{VM: "c", Zone: "a", EnginesCheckTokens: true, Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c", Zone: "a"}))
	now := clock.Now()
	for id, held := range adapters {
		zone := &ownedZone{zone: id, token: 1, table: residency.NewTable(residency.Timing{}, 1)}
		instance := core.Instance{Upstream: core.UpstreamID("engine-" + id), Born: 1, Sequence: 1, Service: "s", Address: "engine-" + string(id), Zone: id, Slots: 4}
		spec := core.EngineSpec{Models: []core.BaseModel{{Model: "m", Size: 100, AdapterSize: 1}}, Memory: 110, Places: 2}
		zone.table.SetEngine(now, instance, spec)
		state := residency.State{Holdings: []residency.Holding{{Weights: core.WeightKey{Model: "m"}}}}
		for _, adapter := range held {
			state.Holdings = append(state.Holdings, residency.Holding{Weights: core.WeightKey{Model: "m", Adapter: adapter}})
		}
		zone.table.ApplyReport(now, instance.Upstream, 1, state)
		control.known.Announce(now, instance)
		control.owned[id] = zone
	}
	return control
}

// TestUsageOfTwoZones guards against an owner of two zones that counts the adapters of one as
// idle, because the report of an entry VM on the other one has replaced its report. It would
// unload adapters in use, and the engine then refuses all orders until the runs have ended.
func TestUsageOfTwoZones(t *testing.T) {
	is := is.New(t)
	control := ownerOf(map[core.ZoneID][]core.AdapterID{"a": {"x"}, "b": {"y"}})
	for zone, adapter := range map[string]string{"a": "x", "b": "y"} {
		control.recordUsage(&wire.Usage{Vm: "entry", Zone: zone, Upstreams: []*wire.UpstreamUse{{
			Upstream: "engine-" + zone, Running: 1, Weights: []*wire.WeightState{{Model: "m", Adapter: adapter}},
		}}})
	}
	is.Equal(control.usage.sums["engine-a"], upstreamUse{{Model: "m", Adapter: "x"}: 1})
	is.Equal(control.usage.sums["engine-b"], upstreamUse{{Model: "m", Adapter: "y"}: 1})

	// An empty report ends the requests of its own zone only.
	control.recordUsage(&wire.Usage{Vm: "entry", Zone: "a"})
	is.Equal(len(control.usage.sums["engine-a"]), 0)
	is.Equal(len(control.usage.sums["engine-b"]), 1)
}

// TestPlaceInTwoZones guards against an owner of two zones that loads an adapter into one
// while the other holds or loads it, and again at each step of the wait.
func TestPlaceInTwoZones(t *testing.T) {
	is := is.New(t)
	control := ownerOf(map[core.ZoneID][]core.AdapterID{"a": {"x"}, "b": nil})
	for i := range 20 {
		upstream, status, _ := control.tryPlace(residency.Query{Service: "s", Weights: core.WeightKey{Model: "m", Adapter: "x"}})
		is.Equal(status, residency.Ready)
		is.Equal(upstream, core.UpstreamID("engine-a"))
		missing := core.WeightKey{Model: "m", Adapter: core.AdapterID(fmt.Sprint("new", i%2))}
		_, status, _ = control.tryPlace(residency.Query{Service: "s", Weights: missing})
		is.Equal(status, residency.LoadPending)
	}
	for _, adapter := range []core.AdapterID{"new0", "new1"} {
		zones := 0
		for _, zone := range control.owned {
			if _, status := zone.table.Find(clock.Now(), residency.Query{Service: "s", Weights: core.WeightKey{Model: "m", Adapter: adapter}}); status == residency.LoadPending {
				zones++
			}
		}
		is.Equal(zones, 1)
	}
}
