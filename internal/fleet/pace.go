package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/pace"
	"github.com/dandelionring/dandelionring/pkg/policy/selection"
)

const (
	// paceInterval is the time between two comparisons of the upstreams of a service.
	paceInterval = 100 * time.Millisecond
	// timesInterval is the time after which a report asks the owner for the times of all its
	// upstreams. Bytes between zones are expensive, and the half-life of the times is 1.5 s.
	timesInterval = 500 * time.Millisecond
	// ownerPaceAge is the time for which the values of an owner count. After it, a VM uses its
	// own observations.
	ownerPaceAge = 2 * time.Second
	// drainInterval is the time between two drains of the changes of this VM's trackers, which
	// only owners log.
	drainInterval = time.Second
	// tokensPerSlot is the size in tokens of a request that keeps a slot as long as the average
	// request does: engines read about 34 tokens of a prompt a millisecond, and a stream takes
	// about 0.5 s.
	tokensPerSlot core.Tokens = 16384
)

// ownerPace is what the owner of the zone has said last of an upstream.
type ownerPace struct {
	times   pace.Times
	timesAt time.Duration
	open    float64
	openAt  time.Duration
}

// servicePace compares the upstreams of one service.
type servicePace struct {
	// tracker holds what this VM has observed itself.
	tracker  pace.Tracker
	relation pace.Relation
	values   []pace.Value
}

// servicePace returns the comparison of the upstreams of a service. The caller holds the lock.
func (table *Table) servicePace(service core.ServiceID) *servicePace {
	known := table.paces[service]
	if known == nil {
		known = &servicePace{}
		table.paces[service] = known
	}
	return known
}

// setPaceState tells the tracker of the service about a change of an upstream. Until the next
// report, the share that this VM assumes for itself applies. The caller holds the lock.
func (table *Table) setPaceState(now time.Duration, known *upstream, before core.Instance) {
	instance := known.instance
	tracker := &table.servicePace(instance.Service).tracker
	if !known.usable() {
		tracker.Remove(instance.Upstream)
		return
	}
	if before.Born == instance.Born && before.Slots == instance.Slots && before.Silent == instance.Silent && before.Service == instance.Service {
		return
	}
	tracker.Set(now, pace.State{Upstream: instance.Upstream, Born: instance.Born, Slots: instance.Slots, Silent: instance.Silent})
	value, _ := tracker.Value(now, instance.Upstream)
	if known.owner.openAt = 0; value.Open < 1 {
		known.open = value.Open
		table.drawPace(now, known)
		table.changedZones[instance.Zone] = true
	}
}

// refreshPace compares the upstreams of each service, at most once in paceInterval.
func (table *Table) refreshPace(now time.Duration) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if now < table.nextPace {
		return
	}
	table.nextPace = now + paceInterval
	for service, upstreams := range table.services {
		table.relatePace(now, table.servicePace(service), upstreams)
	}
	if now < table.nextDrain {
		return
	}
	table.nextDrain = now + drainInterval
	for service, known := range table.paces {
		known.tracker.TakeChanges(now)
		if len(known.tracker.Upstreams(now)) == 0 && len(table.services[service]) == 0 {
			delete(table.paces, service)
		}
	}
}

// relatePace sets speeds and shares of the upstreams of a service. The caller holds the lock.
func (table *Table) relatePace(now time.Duration, service *servicePace, upstreams []*upstream) {
	service.values = service.values[:0]
	for _, known := range upstreams {
		value, _ := service.tracker.Value(now, known.instance.Upstream)
		value.Slots = known.instance.Slots
		if known.owner.timesAt > 0 && now-known.owner.timesAt < ownerPaceAge {
			value.Times = known.owner.times
		}
		if known.owner.openAt > 0 && now-known.owner.openAt < ownerPaceAge {
			value.Open = known.owner.open
		}
		service.values = append(service.values, value)
	}
	service.relation.Relate(service.values)
	for i, known := range upstreams {
		value := service.values[i]
		known.speed, known.open = value.Times.Speed(service.relation.Median), service.relation.Open(value)
		if known.service = value.Times.Answer; known.service == 0 {
			known.service = time.Duration(float64(service.relation.Median.Answer) / known.speed)
		}
		table.updateBound(known)
	}
}

// drawPace draws whether this VM may use the open slots of an upstream until the next report.
// The caller holds the lock.
func (table *Table) drawPace(now time.Duration, known *upstream) {
	var seed [16]byte
	for i := range 8 {
		seed[i] = byte(now >> (8 * i))
	}
	hash := xxhash.New()
	_, _ = hash.Write(seed[:])
	_, _ = hash.WriteString(string(table.vm))
	_, _ = hash.WriteString(string(known.instance.Upstream))
	known.draw = float64(hash.Sum64()) / math.MaxUint64
}

// setPace stores what the owner of a zone has said of its upstreams. The caller holds the lock.
func (table *Table) setPace(now time.Duration, zone core.ZoneID, result *wire.UsageResult) {
	if !result.GetPaced() {
		return
	}
	for _, known := range table.upstreams {
		if known.instance.Zone != zone {
			continue
		}
		known.owner.open, known.owner.openAt = 1, now
		if result.GetTimes() {
			known.owner.times, known.owner.timesAt = pace.Times{}, now
		}
	}
	for _, use := range result.GetUpstreams() {
		known := table.upstreams[core.UpstreamID(use.GetUpstream())]
		if known == nil {
			continue
		}
		if known.owner.open = peer.OpenFromMessage(use); known.owner.open < 1 {
			table.drawPace(now, known)
		}
		if result.GetTimes() {
			known.owner.times = peer.TimesFromMessage(use)
		}
	}
}

// askForTimes makes a report ask for the times if that is due, and states the medians that this
// VM knows. The caller holds the lock.
func (table *Table) askForTimes(now time.Duration, usage *wire.Usage) {
	zone := core.ZoneID(usage.GetZone())
	if asked, ok := table.timesAskedAt[zone]; ok && now-asked < timesInterval {
		return
	}
	table.timesAskedAt[zone] = now
	usage.Times = true
	for service, known := range table.paces {
		if median := known.relation.Median; median != (pace.Times{}) {
			usage.Medians = append(usage.Medians, peer.MediansMessage(string(service), median))
		}
	}
}

// ObserveAnswer adds answers of the selected upstream. Their times count only if they are likely
// not to include a wait for a slot.
func (table *Table) ObserveAnswer(now time.Duration, selected Selection, answers pace.Answers) {
	if !selected.unhindered {
		answers.Untimed += answers.Count
		answers.Count, answers.Total = 0, 0
	}
	table.lock.Lock()
	defer table.lock.Unlock()
	if known := table.upstreams[selected.Upstream]; known != nil && known.instance.Born == selected.Born {
		table.observePace(now, known, answers)
	}
}

// observePace adds answers to the next report and to this VM's own observations. The caller
// holds the lock.
func (table *Table) observePace(now time.Duration, known *upstream, answers pace.Answers) {
	zone := known.instance.Zone
	if now-table.lastReport[zone] >= ownerPaceAge {
		known.answers = pace.Answers{} // of a time without an owner
	}
	known.answers.Add(answers)
	if known.open > 0 && known.open < 1 {
		table.changedZones[zone] = true
	}
	table.servicePace(known.instance.Service).tracker.Observe(now, known.instance.Upstream, known.instance.Born, answers)
}

// pacedCandidate returns the upstream as input of the selection, as far as it follows from its
// requests, its speed and its share. The caller holds the lock.
func (table *Table) pacedCandidate(known *upstream) selection.Candidate {
	candidate := selection.Candidate{
		Local: known.instance.Zone == table.zone, Running: known.running, Others: known.otherRunning, Slots: known.instance.Slots,
		Speed: known.speed, Open: known.open,
	}
	if known.open <= 0 || known.open >= 1 {
		return candidate
	}
	running := candidate.Running + candidate.Others
	if !pace.Admits(known.open, candidate.Slots, running, max(1, table.entryVMs), known.draw) {
		// The other VMs are taken to use the open slots.
		candidate.Others += max(0, int(math.Ceil(known.open*float64(candidate.Slots)))-running)
	}
	return candidate
}
