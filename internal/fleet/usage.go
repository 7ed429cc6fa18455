package fleet

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/pace"
)

// maxUsageInterval is the time after which a report is due although nothing has changed.
// The owner drops a report after 2 s.
const maxUsageInterval = 500 * time.Millisecond

// maxReportedTokens bounds the tokens that another VM reports, so that sums do not overflow.
const maxReportedTokens = 1 << 40

// collectUsage returns the requests sent to the engines of a zone since the last call and
// the requests in flight there, and resets the counts. It returns nil if no report is due:
// the number of reports follows the requests that begin and end, and not the ticks of all
// entry VMs.
func (table *Table) collectUsage(now time.Duration, vm core.VMID, zone core.ZoneID) *wire.Usage {
	table.lock.Lock()
	defer table.lock.Unlock()
	changed := table.changedZones[zone]
	if !changed && now-table.lastReport[zone] < maxUsageInterval {
		return nil
	}
	delete(table.changedZones, zone)
	table.lastReport[zone] = now
	usage := &wire.Usage{Vm: string(vm), Zone: string(zone)}
	for key, count := range table.sendCounts[zone] {
		usage.Weights = append(usage.Weights, &wire.WeightUse{
			Service: string(key.Service), Model: string(key.Weights.Model), Adapter: string(key.Weights.Adapter), Count: uint32(count),
		})
	}
	clear(table.sendCounts[zone])
	for id, known := range table.upstreams {
		if known.instance.Zone == zone && (known.running > 0 || known.answers != pace.Answers{}) {
			usage.Upstreams = append(usage.Upstreams, known.usageMessage(id))
		}
	}
	// When the last request has ended the zone has changed, so the owner gets an empty
	// report; without it, the owner would count the weights as in use for 2 s more.
	if !changed && len(usage.Weights) == 0 && len(usage.Upstreams) == 0 && zone != table.zone {
		return nil
	}
	table.askForTimes(now, usage)
	return usage
}

// usageMessage returns the requests in flight at the upstream, one list entry for each
// request with weights, and the answers since the last report, which it resets.
func (upstream *upstream) usageMessage(id core.UpstreamID) *wire.UpstreamUse {
	use := &wire.UpstreamUse{Upstream: string(id), Running: uint32(upstream.running), PromptTokens: uint64(max(0, upstream.ownPrompts)), Answers: peer.AnswersMessage(upstream.instance.Born, upstream.answers)}
	upstream.answers = pace.Answers{}
	for key, count := range upstream.inFlight {
		for range count {
			use.Weights = append(use.Weights, &wire.WeightState{Model: string(key.Model), Adapter: string(key.Adapter)})
		}
	}
	return use
}

// setOtherRunning stores the requests in flight of the other entry VMs at the upstreams of a
// zone.
func (table *Table) setOtherRunning(zone core.ZoneID, result *wire.UsageResult) {
	table.lock.Lock()
	defer table.lock.Unlock()
	now := clock.Now()
	table.othersAt[zone] = now
	table.setPace(now, zone, result)
	for _, known := range table.upstreams {
		if known.instance.Zone == zone {
			known.otherRunning, known.otherPrompts, known.unreported = 0, 0, 0
		}
	}
	for _, use := range result.GetUpstreams() {
		if known := table.upstreams[core.UpstreamID(use.GetUpstream())]; known != nil {
			known.otherRunning = int(use.GetRunning())
			known.otherPrompts = core.Tokens(min(use.GetPromptTokens(), maxReportedTokens))
		}
	}
	for _, known := range table.upstreams {
		if known.instance.Zone == zone {
			table.updateBound(known)
		}
	}
}
