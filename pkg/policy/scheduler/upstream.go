package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/routing"
)

// upstream is the state of one upstream in its present incarnation.
type upstream struct {
	id          core.UpstreamID
	incarnation core.Incarnation
	epoch       uint32
	seen        time.Time
	leaving     bool
	lost        bool
	// announcements counts those of this incarnation that reached this owner.
	announcements int
	slots         []slot
	batch         int
	inFlight      int
	extra         int
	history       routing.History
	prefixes      routing.Prefixes
	// alone is set while a suspect call runs here.
	alone bool
	// reserved is the suspect call that waits for this upstream to become idle.
	reserved  core.AttemptID
	holdUntil time.Time
	failures  int
	// emptied is the last time at which a slot became free.
	emptied   time.Time
	loadAfter time.Time
	// indexed is set while the copies of this upstream are listed as usable.
	indexed bool
}

func (upstream *upstream) usable(now time.Time) bool {
	return upstream.incarnation != "" && !upstream.leaving && !upstream.lost && now.Sub(upstream.seen) < core.AnnouncementLease
}

func (upstream *upstream) load() routing.Load {
	return routing.Load{InFlight: upstream.inFlight, Extra: upstream.extra, BatchSize: upstream.batch}
}

// Announce takes in an announcement. Announcements that fail Check must be
// refused before.
func (scheduler *Scheduler) Announce(announcement core.Announcement, now time.Time) {
	scheduler.expire(now)
	at := scheduler.find(announcement.Upstream, now)
	upstream := &scheduler.upstreams[at]
	if upstream.incarnation != announcement.Incarnation {
		scheduler.restart(at, announcement.Incarnation, now)
	}
	upstream.seen, upstream.lost = now, false
	upstream.leaving = upstream.leaving || announcement.Leaving
	upstream.announcements++
	upstream.batch = announcement.BatchSize
	if upstream.batch == 0 {
		upstream.batch = defaultBatchSize
	}
	for len(upstream.slots) < announcement.Slots {
		upstream.slots = append(upstream.slots, slot{adapter: none, next: none})
	}
	known := upstream.history.At(now.Add(-announcement.ReportAge))
	upstream.extra = max(0, announcement.Queued+announcement.Running-known)
	scheduler.reconcile(at, &announcement, now)
	scheduler.refresh(at, now)
	scheduler.fill(at, now)
	scheduler.settle(now)
}

// Lose takes in that an upstream is gone. Calls that were assigned to it but not
// started go back to the queue; calls that run keep their pins until Ended.
func (scheduler *Scheduler) Lose(id core.UpstreamID, incarnation core.Incarnation, now time.Time) {
	scheduler.expire(now)
	at, known := scheduler.index[id]
	if !known || scheduler.upstreams[at].incarnation != incarnation {
		return
	}
	scheduler.upstreams[at].lost = true
	scheduler.refresh(at, now)
	scheduler.settle(now)
}

// find returns the index of an upstream and creates its entry if needed.
func (scheduler *Scheduler) find(id core.UpstreamID, now time.Time) int32 {
	if at, known := scheduler.index[id]; known {
		return at
	}
	at := scheduler.vacant(now)
	scheduler.upstreams[at].id = id
	scheduler.index[id] = at
	return at
}

// vacant returns an entry whose upstream has been silent for long, or a new one.
func (scheduler *Scheduler) vacant(now time.Time) int32 {
	for i := range scheduler.upstreams {
		upstream := &scheduler.upstreams[i]
		if upstream.inFlight == 0 && now.Sub(upstream.seen) > forgetAfter {
			scheduler.clearSlots(int32(i), now)
			delete(scheduler.index, upstream.id)
			*upstream = newUpstream(upstream.slots[:0])
			return int32(i)
		}
	}
	scheduler.upstreams = append(scheduler.upstreams, newUpstream(nil))
	return int32(len(scheduler.upstreams) - 1)
}

func newUpstream(slots []slot) upstream { return upstream{slots: slots} }

// restart begins a new incarnation: nothing is resident, and the pins of the
// former one end with it.
func (scheduler *Scheduler) restart(at int32, incarnation core.Incarnation, now time.Time) {
	upstream := &scheduler.upstreams[at]
	upstream.lost = true
	scheduler.refresh(at, now)
	scheduler.clearSlots(at, now)
	scheduler.epochs++
	id, slots := upstream.id, upstream.slots[:0]
	*upstream = newUpstream(slots)
	upstream.id, upstream.incarnation, upstream.epoch = id, incarnation, scheduler.epochs
}

// refresh brings the list of usable copies in line with the upstream's state, and
// withdraws the calls assigned to an upstream that became unusable.
func (scheduler *Scheduler) refresh(at int32, now time.Time) {
	upstream := &scheduler.upstreams[at]
	usable := upstream.usable(now)
	if usable {
		scheduler.present = now
	}
	if usable == upstream.indexed {
		return
	}
	upstream.indexed = usable
	for i := range upstream.slots {
		if upstream.slots[i].state != slotResident {
			continue
		}
		if usable {
			scheduler.list(at, int32(i), now)
		} else {
			scheduler.unlist(at, int32(i), now)
		}
	}
	if usable {
		scheduler.fill(at, now)
	} else {
		scheduler.withdraw(at, now)
	}
}

// withdraw returns the calls that were assigned to an upstream but not started.
func (scheduler *Scheduler) withdraw(at int32, now time.Time) {
	scheduler.upstreams[at].reserved = ""
	epoch := scheduler.upstreams[at].epoch
	for i := range scheduler.runs {
		run := &scheduler.runs[i]
		if run.call.Attempt != "" && run.upstream == at && run.epoch == epoch && !run.started {
			scheduler.requeue(int32(i), now)
		}
	}
}

// requeue puts an assigned call back to its place in the queue.
func (scheduler *Scheduler) requeue(index int32, now time.Time) {
	call := scheduler.runs[index].call
	scheduler.names.Hold(call.Lane)
	scheduler.drop(index, now)
	scheduler.queue.Return(call)
	scheduler.dispatch(call.Lane, now)
}
