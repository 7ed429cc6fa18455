package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/brittle"
)

const (
	// brittleMemory is the time for which a service counts as brittle without another
	// response that says so. All responses say it.
	brittleMemory = 10 * time.Second
	// staleReport is the time after which the reported requests of other VMs are not relied
	// on. A VM reports every 500 ms at the latest and gets them in return.
	staleReport = time.Second
)

// statedBrittle is what the upstreams of a service have said last of being brittle.
type statedBrittle struct {
	limit core.RejectionLimit
	at    time.Duration
}

// brittleLoad returns what is known of the requests at an upstream, and false if its service
// is not brittle. If the reported requests are stale, it makes a report due, whose answer brings
// new ones: a VM that has sent nothing for a while reports nothing. The caller holds the lock.
func (table *Table) brittleLoad(now time.Duration, known *upstream) (brittle.Load, bool) {
	if len(table.brittle) == 0 {
		return brittle.Load{}, false
	}
	stated := table.brittle[known.instance.Service]
	if !stated.limit.Stated || now-stated.at >= brittleMemory {
		return brittle.Load{}, false
	}
	zone := known.instance.Zone
	reportedAt, reported := table.othersAt[zone]
	stale := !reported || now-reportedAt >= staleReport
	if stale {
		table.changedZones[zone] = true
	}
	return brittle.Load{
		Own: known.running, Others: known.otherRunning, Stale: stale,
		Unreported: known.unreported, Slots: known.instance.Slots, VMs: max(1, table.entryVMs), Limit: stated.limit.Rate, Phase: table.phase(known.instance.Upstream),
	}, true
}

// brittleWait returns the time until a request may be sent to an upstream that may have no
// room, zero if its service is not brittle. The caller holds the lock.
func (table *Table) brittleWait(now time.Duration, known *upstream) time.Duration {
	if load, ok := table.brittleLoad(now, known); ok {
		return known.guard.Wait(now, load)
	}
	return 0
}

// sendBrittle notes that a request is sent to an upstream. The caller holds the lock.
func (table *Table) sendBrittle(now time.Duration, known *upstream) {
	if load, ok := table.brittleLoad(now, known); ok {
		known.guard.Send(now, load)
	}
}

// ObserveBrittle stores what a response of the selected upstream says of being brittle, for all
// upstreams of its service, and whether the upstream has rejected the request. It returns what
// the service said before, and true if that has changed.
func (table *Table) ObserveBrittle(now time.Duration, selected Selection, limit core.RejectionLimit, rejected bool) (core.RejectionLimit, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[selected.Upstream]
	if known == nil || known.instance.Born != selected.Born {
		return core.RejectionLimit{}, false
	}
	service := known.instance.Service
	before := table.brittle[service].limit
	if now-table.brittle[service].at >= brittleMemory {
		before = core.RejectionLimit{}
	}
	if limit.Stated || before.Stated {
		table.brittle[service] = statedBrittle{limit: limit, at: now}
	}
	if limit.Stated && !before.Stated {
		for _, other := range table.services[service] {
			other.guard = brittle.Guard{}
		}
	}
	if load, ok := table.brittleLoad(now, known); ok && rejected {
		known.guard.Rejected(now, load)
	} else {
		known.guard.Accepted()
	}
	return before, before != limit
}

// phase returns a number from 0 to 1 that differs among the VMs and upstreams. The caller holds
// the lock.
func (table *Table) phase(id core.UpstreamID) float64 {
	return float64(xxhash.Sum64String(string(table.vm)+"\x00"+string(id))) / math.MaxUint64
}
