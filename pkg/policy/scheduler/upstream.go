package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/routing"
)

// upstream is the state of the current incarnation of one upstream.
type upstream struct {
	id          core.UpstreamID
	incarnation core.Incarnation
	// epoch is the number of the incarnation, from Scheduler.lastEpoch.
	epoch         uint32
	lastAnnounced time.Time
	// software is the announced version of the software.
	software core.SoftwareVersion
	leaving  bool
	// lost is set by UpstreamLost until the next announcement.
	lost bool
	// announcements counts the announcements of this incarnation that this owner
	// received.
	announcements int
	slots         []slot
	batchSize     int
	inFlight      int
	// extraLoad is the load in the last report beyond the owner's own calls in flight
	// at the time of the report.
	extraLoad int
	history   routing.History
	cache     routing.PrefixCache
	// runsSuspect is set while a suspect call is assigned to this upstream.
	runsSuspect bool
	// reservedFor is the suspect call that waits until this upstream is idle.
	reservedFor core.AttemptID
	// holdUntil is the time until which a call is held back so that others can join its
	// batch, zero if none is.
	holdUntil time.Time
	// failedLoads counts the failed loads since the last one that succeeded in time.
	failedLoads int
	// slotFreedAt is the last time at which a slot became free.
	slotFreedAt time.Time
	// loadsPausedUntil is the end of the backoff after engineFailureLimit failed loads.
	loadsPausedUntil time.Time
	// copiesListed is set while the resident slots of this upstream are among the
	// copies of their adapters.
	copiesListed bool
}

// usable reports whether an upstream may get work: it is not leaving or unreachable,
// and the lease of its last announcement runs.
func (upstream *upstream) usable(now time.Time) bool {
	return upstream.incarnation != "" && !upstream.leaving && !upstream.lost && now.Sub(upstream.lastAnnounced) < core.AnnouncementLease
}

// load returns the number of calls and the batch size of an upstream.
func (upstream *upstream) load() routing.Load {
	return routing.Load{InFlight: upstream.inFlight, Extra: upstream.extraLoad, BatchSize: upstream.batchSize}
}

// Announced updates the state of an upstream from an announcement, which must have
// passed core.Announcement.Check.
func (scheduler *Scheduler) Announced(announcement core.Announcement, now time.Time) {
	scheduler.expireCalls(now)
	upstreamIndex := scheduler.upstreamIndex(announcement.Upstream, now)
	upstream := &scheduler.upstreams[upstreamIndex]
	if upstream.incarnation != announcement.Incarnation {
		scheduler.startIncarnation(upstreamIndex, announcement.Incarnation, now)
	}
	upstream.lastAnnounced, upstream.lost = now, false
	upstream.leaving = upstream.leaving || announcement.Leaving
	upstream.software = announcement.Software
	upstream.announcements++
	upstream.batchSize = announcement.BatchSize
	if upstream.batchSize == 0 {
		upstream.batchSize = defaultBatchSize
	}
	for len(upstream.slots) < announcement.Slots {
		upstream.slots = append(upstream.slots, slot{adapter: none, nextAdapter: none})
	}
	ownInFlight := upstream.history.At(now.Add(-announcement.ReportAge))
	upstream.extraLoad = max(0, announcement.Queued+announcement.Running-ownInFlight)
	scheduler.reconcile(upstreamIndex, &announcement, now)
	scheduler.updateUsable(upstreamIndex, now)
	scheduler.fillUpstream(upstreamIndex, now)
	scheduler.processDue(now)
}

// UpstreamLost marks an incarnation of an upstream as unreachable until its next
// announcement, and ignores any incarnation but the current one. Calls that were
// assigned to it but have not started return to the queue. Started calls keep their
// pins until Ended.
func (scheduler *Scheduler) UpstreamLost(id core.UpstreamID, incarnation core.Incarnation, now time.Time) {
	scheduler.expireCalls(now)
	upstreamIndex, known := scheduler.upstreamIndices[id]
	if !known || scheduler.upstreams[upstreamIndex].incarnation != incarnation {
		return
	}
	scheduler.upstreams[upstreamIndex].lost = true
	scheduler.updateUsable(upstreamIndex, now)
	scheduler.processDue(now)
}

// upstreamIndex returns the index of an upstream and adds an entry for it if it is
// unknown.
func (scheduler *Scheduler) upstreamIndex(id core.UpstreamID, now time.Time) int32 {
	if upstreamIndex, known := scheduler.upstreamIndices[id]; known {
		return upstreamIndex
	}
	upstreamIndex := scheduler.newUpstreamIndex(now)
	scheduler.upstreams[upstreamIndex].id = id
	scheduler.upstreamIndices[id] = upstreamIndex
	return upstreamIndex
}

// newUpstreamIndex returns the index of an empty entry. It reuses an entry without
// calls in flight whose upstream sent no announcement for upstreamRetention.
func (scheduler *Scheduler) newUpstreamIndex(now time.Time) int32 {
	for i := range scheduler.upstreams {
		upstream := &scheduler.upstreams[i]
		if upstream.inFlight == 0 && now.Sub(upstream.lastAnnounced) > upstreamRetention {
			scheduler.clearSlots(int32(i), now)
			delete(scheduler.upstreamIndices, upstream.id)
			*upstream = newUpstream(upstream.slots[:0])
			return int32(i)
		}
	}
	scheduler.upstreams = append(scheduler.upstreams, newUpstream(nil))
	return int32(len(scheduler.upstreams) - 1)
}

// newUpstream returns an upstream without an incarnation that uses the capacity of
// slots.
func newUpstream(slots []slot) upstream { return upstream{slots: slots} }

// startIncarnation replaces the state of an upstream by that of a new incarnation.
// Nothing is resident there, and the pins of the previous incarnation are removed.
func (scheduler *Scheduler) startIncarnation(upstreamIndex int32, incarnation core.Incarnation, now time.Time) {
	upstream := &scheduler.upstreams[upstreamIndex]
	upstream.lost = true
	scheduler.updateUsable(upstreamIndex, now)
	scheduler.clearSlots(upstreamIndex, now)
	scheduler.lastEpoch++
	id, slots := upstream.id, upstream.slots[:0]
	*upstream = newUpstream(slots)
	upstream.id, upstream.incarnation, upstream.epoch = id, incarnation, scheduler.lastEpoch
}

// updateUsable checks whether an upstream is usable. If that has changed, it adds the
// resident slots to the copies of their adapters or removes them, and then fills the
// upstream or requeues the calls that were assigned to it but have not started.
func (scheduler *Scheduler) updateUsable(upstreamIndex int32, now time.Time) {
	upstream := &scheduler.upstreams[upstreamIndex]
	usable := upstream.usable(now)
	if usable {
		scheduler.usableUntil = now
	}
	if usable == upstream.copiesListed {
		return
	}
	upstream.copiesListed = usable
	for i := range upstream.slots {
		if upstream.slots[i].state != slotResident {
			continue
		}
		if usable {
			scheduler.addCopy(upstreamIndex, int32(i), now)
		} else {
			scheduler.removeCopy(upstreamIndex, int32(i), now)
		}
	}
	if usable {
		scheduler.fillUpstream(upstreamIndex, now)
	} else {
		scheduler.requeueUnstarted(upstreamIndex, now)
	}
}

// requeueUnstarted returns the calls that were assigned to an upstream but have not
// started to the queue.
func (scheduler *Scheduler) requeueUnstarted(upstreamIndex int32, now time.Time) {
	scheduler.upstreams[upstreamIndex].reservedFor = ""
	epoch := scheduler.upstreams[upstreamIndex].epoch
	for i := range scheduler.assignments {
		assigned := &scheduler.assignments[i]
		if assigned.call.Attempt != "" && assigned.upstream == upstreamIndex && assigned.epoch == epoch && !assigned.started {
			scheduler.requeue(int32(i), now)
		}
	}
}

// requeue returns an assigned call to its former place in the queue. A call that continues an
// answer does not wait and is refused.
func (scheduler *Scheduler) requeue(assignmentIndex int32, now time.Time) {
	call := scheduler.assignments[assignmentIndex].call
	if scheduler.assignments[assignmentIndex].continues {
		scheduler.removeAssignment(assignmentIndex, now)
		scheduler.refuse(call.Attempt, refusedSoftware)
		return
	}
	scheduler.popularity.Hold(call.Lane)
	scheduler.removeAssignment(assignmentIndex, now)
	scheduler.queue.Requeue(call)
	scheduler.dispatch(call.Lane, now)
}
