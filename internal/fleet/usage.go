package fleet

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// usageRenewal is the time after which a report is due although nothing has changed: the
// owner forgets one after 2 s.
const usageRenewal = 500 * time.Millisecond

// usage returns what was sent to the engines of a zone since the last call, and the
// requests in flight there. It returns nil if there is nothing to say. An owner hears as
// often as requests begin and end, and not for each tick of each entry VM.
func (table *Table) usage(now time.Duration, vm core.VMID, zone core.ZoneID) *wire.Usage {
	table.lock.Lock()
	defer table.lock.Unlock()
	touched := table.touched[zone]
	if !touched && now-table.reported[zone] < usageRenewal {
		return nil
	}
	delete(table.touched, zone)
	table.reported[zone] = now
	usage := &wire.Usage{Vm: string(vm)}
	for key, count := range table.used[zone] {
		usage.Weights = append(usage.Weights, &wire.WeightUse{
			Service: string(key.Service), Model: string(key.Weights.Model), Adapter: string(key.Weights.Adapter), Count: uint32(count),
		})
	}
	clear(table.used[zone])
	for id, known := range table.upstreams {
		if known.instance.Zone == zone && known.running > 0 {
			usage.Upstreams = append(usage.Upstreams, known.use(id))
		}
	}
	// An owner that is not told of the last end keeps what was in use for 2 s more.
	if !touched && len(usage.Weights) == 0 && len(usage.Upstreams) == 0 && zone != table.zone {
		return nil
	}
	return usage
}

func (upstream *upstream) use(id core.UpstreamID) *wire.UpstreamUse {
	use := &wire.UpstreamUse{Upstream: string(id), Running: uint32(upstream.running)}
	for key, count := range upstream.inFlight {
		for range count {
			use.Weights = append(use.Weights, &wire.WeightState{Model: string(key.Model), Adapter: string(key.Adapter)})
		}
	}
	return use
}

// setOthers takes in the requests in flight at the upstreams of a zone over all entry VMs.
func (table *Table) setOthers(zone core.ZoneID, result *wire.UsageResult) {
	table.lock.Lock()
	defer table.lock.Unlock()
	for _, known := range table.upstreams {
		if known.instance.Zone == zone {
			known.others = 0
		}
	}
	for _, use := range result.GetUpstreams() {
		if known := table.upstreams[core.UpstreamID(use.GetUpstream())]; known != nil {
			known.others = int(use.GetRunning())
		}
	}
}
