package control

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// usageTTL is the time for which a usage report counts. While an entry VM has requests in
// flight it reports at least every 500 ms, and at most every 80 ms.
const usageTTL = 2 * time.Second

// usageKey identifies the reports that replace each other.
type usageKey struct {
	entryVM core.VMID
	zone    core.ZoneID
}

// upstreamUse counts the requests in flight at one upstream by weights, those without
// weights under the zero key.
type upstreamUse map[core.WeightKey]int

// total returns the number of requests in flight.
func (use upstreamUse) total() int {
	sum := 0
	for _, count := range use {
		sum += count
	}
	return sum
}

// maxReportedTokens bounds the tokens of one report, so that sums do not overflow.
const maxReportedTokens = 1 << 40

// usageReport is the last report of an entry VM on its requests in flight in one zone.
type usageReport struct {
	at        time.Duration
	upstreams map[core.UpstreamID]upstreamUse
	// prompts holds the tokens of the prompts that the upstreams have not read.
	prompts map[core.UpstreamID]core.Tokens
}

// usageTable holds the usage reports of all entry VMs and their sums by upstream. A report
// changes only the sums of its own upstreams: with some hundred entry VMs that report twelve
// times a second, adding up all reports at each of them would grow with the square of their
// number. The zero value is empty.
type usageTable struct {
	reports map[usageKey]usageReport
	sums    map[core.UpstreamID]upstreamUse
	prompts map[core.UpstreamID]core.Tokens
	// nextExpiry is the time of the next search for expired reports.
	nextExpiry time.Duration
}

// replace replaces the last report with the same key. It returns the upstreams whose sums
// changed.
func (table *usageTable) replace(key usageKey, report usageReport) map[core.UpstreamID]bool {
	if table.reports == nil {
		table.reports = make(map[usageKey]usageReport)
		table.sums = make(map[core.UpstreamID]upstreamUse)
		table.prompts = make(map[core.UpstreamID]core.Tokens)
	}
	changed := make(map[core.UpstreamID]bool)
	table.add(table.reports[key], -1, changed)
	table.reports[key] = report
	table.add(report, 1, changed)
	table.removeUnused(changed)
	return changed
}

// expire drops the reports older than usageTTL, at most twice in that time. It returns the
// upstreams whose sums changed.
func (table *usageTable) expire(now time.Duration) map[core.UpstreamID]bool {
	changed := make(map[core.UpstreamID]bool)
	if now < table.nextExpiry {
		return changed
	}
	table.nextExpiry = now + usageTTL/2
	for key, report := range table.reports {
		if now-report.at > usageTTL {
			table.add(report, -1, changed)
			delete(table.reports, key)
		}
	}
	table.removeUnused(changed)
	return changed
}

// add adds a report to the sums, or subtracts it if sign is -1, and notes its upstreams in
// changed.
func (table *usageTable) add(report usageReport, sign int, changed map[core.UpstreamID]bool) {
	for id, use := range report.upstreams {
		changed[id] = true
		sum := table.sums[id]
		if sum == nil {
			sum = make(upstreamUse)
			table.sums[id] = sum
		}
		for key, count := range use {
			if sum[key] += sign * count; sum[key] == 0 {
				delete(sum, key)
			}
		}
	}
	for id, tokens := range report.prompts {
		if table.prompts[id] += core.Tokens(sign) * tokens; table.prompts[id] == 0 {
			delete(table.prompts, id)
		}
	}
}

// removeUnused removes the sums without requests among the given upstreams.
func (table *usageTable) removeUnused(ids map[core.UpstreamID]bool) {
	for id := range ids {
		if len(table.sums[id]) == 0 {
			delete(table.sums, id)
		}
	}
}

// recordUsage applies the usage report of an entry VM and returns the requests in flight of
// the other entry VMs at each upstream.
func (control *Control) recordUsage(request *wire.Usage) *wire.UsageResult {
	now := clock.Now()
	own := parseUsage(now, request)
	control.lock.Lock()
	defer control.lock.Unlock()
	changed := control.usage.expire(now)
	for id := range control.usage.replace(usageKey{core.VMID(request.GetVm()), core.ZoneID(request.GetZone())}, own) {
		changed[id] = true
	}
	for _, zone := range control.owned {
		for _, use := range request.GetWeights() {
			key := core.WeightKey{Model: core.ModelID(use.GetModel()), Adapter: core.AdapterID(use.GetAdapter())}
			zone.table.RecordUse(now, key, int(use.GetCount()))
		}
		for id := range changed {
			zone.table.SetRunning(id, control.usage.sums[id])
		}
	}
	result := control.usageOfOthers(core.ZoneID(request.GetZone()), own)
	if zone := control.owned[core.ZoneID(request.GetZone())]; zone != nil {
		zone.paces.observe(now, request)
		zone.paces.state(now, result, request.GetTimes())
	}
	return result
}

// usageOfOthers returns the sums without an entry VM's own report, for the upstreams of a
// zone, or for all if the zone is empty. The caller holds the lock.
func (control *Control) usageOfOthers(zone core.ZoneID, own usageReport) *wire.UsageResult {
	result := &wire.UsageResult{}
	for id, sum := range control.usage.sums {
		if instance, known := control.known.Get(id); zone != "" && known && instance.Zone != zone {
			continue
		}
		if others := sum.total() - own.upstreams[id].total(); others > 0 {
			result.Upstreams = append(result.Upstreams, &wire.UpstreamUse{
				Upstream: string(id), Running: uint32(others), PromptTokens: uint64(max(0, control.usage.prompts[id]-own.prompts[id])),
			})
		}
	}
	return result
}

// parseUsage returns the requests in flight of a report.
func parseUsage(now time.Duration, request *wire.Usage) usageReport {
	own := usageReport{at: now, upstreams: make(map[core.UpstreamID]upstreamUse), prompts: make(map[core.UpstreamID]core.Tokens)}
	for _, upstream := range request.GetUpstreams() {
		use := make(upstreamUse)
		for _, weights := range upstream.GetWeights() {
			use[core.WeightKey{Model: core.ModelID(weights.GetModel()), Adapter: core.AdapterID(weights.GetAdapter())}]++
		}
		if rest := int(upstream.GetRunning()) - len(upstream.GetWeights()); rest > 0 {
			use[core.WeightKey{}] = rest
		}
		own.upstreams[core.UpstreamID(upstream.GetUpstream())] = use
		if tokens := upstream.GetPromptTokens(); tokens > 0 {
			own.prompts[core.UpstreamID(upstream.GetUpstream())] = core.Tokens(min(tokens, maxReportedTokens))
		}
	}
	return own
}
