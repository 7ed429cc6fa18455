package scheduler

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/queue"
)

// dispatch sends the waiting calls of one adapter as far as its copies have room.
func (scheduler *Scheduler) dispatch(lane int32, now time.Time) {
	for {
		head, ok := scheduler.queue.Head(lane)
		if !ok {
			break
		}
		to, ok := scheduler.pick(lane, scheduler.queue.Entry(head), now)
		if !ok {
			break
		}
		held := !scheduler.upstreams[to.upstream].holdUntil.IsZero()
		scheduler.assign(lane, to, now)
		if held {
			scheduler.fill(to.upstream, now)
		}
	}
	scheduler.review(lane, now)
}

// fillAll sends waiting calls to every upstream that has room.
func (scheduler *Scheduler) fillAll(now time.Time) {
	for i := range scheduler.upstreams {
		scheduler.fill(int32(i), now)
	}
}

// fill sends waiting calls to one upstream while it has room, the most urgent of
// all adapters that it holds first.
func (scheduler *Scheduler) fill(at int32, now time.Time) {
	for {
		lane, to, ok := scheduler.urgent(at, now)
		if !ok {
			return
		}
		scheduler.assign(lane, to, now)
		scheduler.review(lane, now)
	}
}

// urgent returns the adapter whose head is to run next on an upstream.
func (scheduler *Scheduler) urgent(at int32, now time.Time) (lane int32, to place, ok bool) {
	upstream := &scheduler.upstreams[at]
	best := none
	consider := func(candidate int32, index int32) {
		head, waits := scheduler.queue.Head(candidate)
		if !waits || (best != none && !scheduler.queue.Before(head, best)) {
			return
		}
		if !scheduler.accepts(at, scheduler.queue.Entry(head), now) {
			return
		}
		best, lane, to = head, candidate, place{at, index}
	}
	if !upstream.indexed || !upstream.usable(now) || scheduler.queue.Len() == 0 {
		return none, place{}, false
	}
	if anywhere, known := scheduler.names.Find(noAdapter); known {
		consider(anywhere, none)
	}
	for i := range upstream.slots {
		if upstream.slots[i].state == slotResident {
			consider(upstream.slots[i].adapter, int32(i))
		}
	}
	return lane, to, best != none
}

// pick returns the best place for a call among the copies of its adapter.
func (scheduler *Scheduler) pick(lane int32, call *queue.Entry, now time.Time) (place, bool) {
	entry := &scheduler.adapters[lane]
	best, bestCost := place{none, none}, 0.0
	if entry.anywhere {
		for i := range scheduler.upstreams {
			scheduler.compare(place{int32(i), none}, call, now, &best, &bestCost)
		}
	} else {
		for _, copied := range entry.copies {
			scheduler.compare(copied, call, now, &best, &bestCost)
		}
	}
	if best.upstream == none && call.Suspect {
		scheduler.reserve(lane, call, now)
	}
	if best.upstream == none || scheduler.holdsBack(best.upstream, call, now) {
		return best, false
	}
	return best, true
}

func (scheduler *Scheduler) compare(candidate place, call *queue.Entry, now time.Time, best *place, bestCost *float64) {
	if !scheduler.accepts(candidate.upstream, call, now) {
		return
	}
	upstream := &scheduler.upstreams[candidate.upstream]
	load := upstream.load()
	wait := scheduler.model.FirstToken(load, upstream.prefixes.Matched(call.Prefixes))
	cost := scheduler.config.Batching.Cost(wait, load.Fill())
	if best.upstream == none || cost < *bestCost {
		*best, *bestCost = candidate, cost
	}
}

// accepts reports whether an upstream may take a call now.
func (scheduler *Scheduler) accepts(at int32, call *queue.Entry, now time.Time) bool {
	upstream := &scheduler.upstreams[at]
	if !upstream.indexed || !upstream.usable(now) || upstream.alone {
		return false
	}
	if upstream.reserved != "" && upstream.reserved != call.Attempt {
		return false
	}
	if call.Suspect {
		return upstream.load().Idle()
	}
	return upstream.load().Room()
}

// reserve keeps the least loaded copy free of new calls until the suspect at the
// head of its lane can run there alone.
func (scheduler *Scheduler) reserve(lane int32, call *queue.Entry, now time.Time) {
	best := none
	consider := func(at int32) {
		upstream := &scheduler.upstreams[at]
		if !upstream.indexed || !upstream.usable(now) || upstream.alone {
			return
		}
		if upstream.reserved != "" && upstream.reserved != call.Attempt {
			return
		}
		if upstream.reserved == call.Attempt || best == none || upstream.inFlight < scheduler.upstreams[best].inFlight {
			best = at
		}
	}
	entry := &scheduler.adapters[lane]
	for i := range scheduler.upstreams {
		if entry.anywhere || entry.on(int32(i)) {
			consider(int32(i))
		}
	}
	scheduler.unreserve(call.Attempt)
	if best != none {
		scheduler.upstreams[best].reserved = call.Attempt
	}
}

func (entry *adapter) on(upstream int32) bool {
	for _, copied := range entry.copies {
		if copied.upstream == upstream {
			return true
		}
	}
	return false
}

// holdsBack reports whether a call waits a little so that others join its batch.
// The hold of an idle upstream ends after its time or with the second call.
func (scheduler *Scheduler) holdsBack(at int32, call *queue.Entry, now time.Time) bool {
	upstream := &scheduler.upstreams[at]
	if call.Suspect || !upstream.load().Idle() || upstream.batch < 2 {
		return false
	}
	if !upstream.holdUntil.IsZero() {
		held := now.Before(upstream.holdUntil) && scheduler.queue.LaneLen(call.Lane) < 2
		if !held {
			upstream.holdUntil = time.Time{}
		}
		return held
	}
	arrivals := float64(scheduler.names.Short(call.Lane, now))
	hold := scheduler.config.Batching.Hold(arrivals, call.Deadline.Sub(now))
	if hold == 0 {
		return false
	}
	upstream.holdUntil = now.Add(hold)
	return true
}

// assign takes the head of a lane and sends it to a place.
func (scheduler *Scheduler) assign(lane int32, to place, now time.Time) {
	call := scheduler.queue.Serve(lane)
	upstream := &scheduler.upstreams[to.upstream]
	upstream.inFlight++
	upstream.history.Set(now, upstream.inFlight)
	upstream.holdUntil = time.Time{}
	if call.Suspect {
		upstream.alone = true
		scheduler.unreserve(call.Attempt)
	}
	if to.slot != none {
		slot := &upstream.slots[to.slot]
		slot.pins++
		slot.used = true
	}
	index := scheduler.newRun()
	scheduler.runs[index] = assignment{call: call, upstream: to.upstream, slot: to.slot, epoch: upstream.epoch, at: now}
	scheduler.attempts[call.Attempt] = index
	scheduler.send(&call, to, now)
}

func (scheduler *Scheduler) send(call *queue.Entry, to place, now time.Time) {
	upstream := &scheduler.upstreams[to.upstream]
	entry := &scheduler.adapters[call.Lane]
	stalled := time.Duration(0)
	if to.slot != none {
		stalled = max(0, min(now.Sub(call.Arrived), entry.available.Sub(call.Arrived)))
	}
	scheduler.stats.Sends++
	scheduler.stats.Stalled += stalled
	scheduler.actions = append(scheduler.actions, Action{
		Kind: Send, Upstream: upstream.id, Incarnation: upstream.incarnation,
		Adapter: scheduler.names.Name(call.Lane), Attempt: call.Attempt,
		Queued: now.Sub(call.Arrived), Stalled: stalled,
	})
}

func (scheduler *Scheduler) newRun() int32 {
	if last := len(scheduler.freeRuns) - 1; last >= 0 {
		index := scheduler.freeRuns[last]
		scheduler.freeRuns = scheduler.freeRuns[:last]
		return index
	}
	scheduler.runs = append(scheduler.runs, assignment{})
	return int32(len(scheduler.runs) - 1)
}
