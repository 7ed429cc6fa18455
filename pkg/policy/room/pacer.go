package room

import (
	"math"
	"time"
)

const (
	// reportInterval is the time after which the VMs hear of the requests of the others.
	reportInterval = 80 * time.Millisecond
	// correctionTime is the time in which a queue that is too long or too short is corrected. With
	// less than twice the delay of the reports, which is up to 160 ms over two VMs, all VMs stop
	// and start together.
	correctionTime = 300 * time.Millisecond
	// raiseTime is the same for a queue that is too short: slots must not become free.
	raiseTime = 80 * time.Millisecond
	// growthTime is the time in which the part of each VM grows by its own size while the queue is
	// empty, and maxGrowth bounds it: with as much, one VM of a thousand uses all.
	growthTime = 500 * time.Millisecond
	maxGrowth  = 1000
	// boostFactor is the growth in each reportInterval while slots are free and requests wait here.
	boostFactor = 1.5
	// reservedTurns is the number of turns that must be left after the send of a request, for
	// each class that goes before it.
	reservedTurns = 1
	// latePart is the part of the turns that is kept for requests that would miss their deadline
	// otherwise. The rest is for those that can be answered in time.
	latePart = 0.125
	// lateClass is the number of classes by which a request that is late comes behind the same one
	// in time, and maxClass the last class.
	lateClass = 3
	maxClass  = maxRanks + 2*maxDoublings + lateClass
	// maxTurns is the number of turns that a VM can save.
	maxTurns = maxClass * reservedTurns
)

// pacer gives this VM its part of what the upstreams of a service serve while more requests arrive
// than that. The reports are older than a request takes, so thresholds on the reported load alone
// make all VMs send and stop together. The rate of a VM follows from the number of slots, the time
// for which a request keeps one, and the number of VMs; the reports only correct it. Where the
// requests of the VMs are uneven, some leave turns unused; the queue becomes shorter then and
// the parts of all VMs grow. The zero value does not limit.
type pacer struct {
	// limited is set while turns are needed.
	limited bool
	// rate is the number of turns a second, turns what is saved, and last the part of it that is
	// kept for requests whose time left is just enough.
	rate, turns, last float64
	at                time.Duration
	// growth is the size of the part of each VM relative to an even one, and boost a further factor
	// while slots are free.
	growth, boost float64
	reportAt      time.Duration
}

// class returns the class of a request: urgent ranks and workspaces that use no more than their
// share go first.
func (request Request) class() int {
	class := min(max(0, request.Rank), maxRanks)
	if request.Excess > 1 {
		class += 2 * int(min(maxDoublings, math.Floor(math.Log2(request.Excess))))
	}
	return class
}

// report corrects the rate. target is the load to keep, phase rounds the first turn, and waiting is
// set if requests wait on this VM.
func (pacer *pacer) report(now time.Duration, state State, target, phase float64, waiting bool) {
	load := float64(state.Requests) / float64(max(1, state.Slots))
	switch {
	case !pacer.limited && (load > target || waiting && load > 1):
		*pacer = pacerAt(now, phase)
	case !pacer.limited:
		return
	case load <= target && !waiting:
		pacer.limited = false
		return
	}
	pacer.refill(now)
	passed := min(maxAge, now-pacer.reportAt)
	pacer.reportAt = now
	difference := target - load
	pacer.growth = min(maxGrowth, max(0.5, pacer.growth+pacer.growth*difference/target*passed.Seconds()/growthTime.Seconds()))
	if load > 1 {
		pacer.boost = 1
	} else if waiting {
		pacer.boost = min(maxGrowth, pacer.boost*math.Pow(boostFactor, passed.Seconds()/reportInterval.Seconds()))
	}
	capacity := float64(state.Slots) / max(time.Millisecond, state.hold()).Seconds()
	span := correctionTime
	if difference > 0 {
		span = raiseTime
	}
	rate := capacity*pacer.growth*pacer.boost + difference*float64(state.Slots)/span.Seconds()
	pacer.rate = max(0, rate) / float64(max(1, state.VMs))
}

// pacerAt returns the state from which turns are needed. The fraction of phase rounds the first ones.
func pacerAt(now time.Duration, phase float64) pacer {
	first := phase - math.Floor(phase)
	return pacer{limited: true, turns: first - 1, last: first, at: now, growth: 1, boost: 1, reportAt: now}
}

// refill adds the turns since the last call.
func (pacer *pacer) refill(now time.Duration) {
	passed := max(0, now-pacer.at).Seconds()
	pacer.at = now
	pacer.turns = min(maxTurns, pacer.turns+pacer.rate*passed)
	pacer.last = min(1, pacer.last+latePart*pacer.rate*passed)
}

// until returns the time until a request of a class has its turn.
func (pacer *pacer) until(now time.Duration, class int) time.Duration {
	if !pacer.limited {
		return 0
	}
	pacer.refill(now)
	missing := reservedTurns*float64(class) - pacer.turns
	if missing <= 0 {
		return 0
	}
	return time.Duration(min(missing/max(pacer.rate, 0.1), 60) * float64(time.Second))
}

// sent takes a turn.
func (pacer *pacer) sent(now time.Duration, last bool) {
	if !pacer.limited {
		return
	}
	pacer.refill(now)
	pacer.turns = max(-2, pacer.turns-1)
	if last {
		pacer.last--
	}
}

// allowsLast reports whether a request whose time left is just enough may be sent. The last moment
// of a large one comes earlier, so there are fewer turns until then; it needs a part of one.
func (pacer *pacer) allowsLast(size float64) bool {
	return !pacer.limited || pacer.last*max(1, size) >= 1
}
