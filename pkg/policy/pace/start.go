package pace

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// settleTime is the time after the first upstream of a tracker in which others are taken
	// for upstreams that were there before it: a new owner learns of all of them at once.
	settleTime = 2 * time.Second
	// firstShare is the share at the beginning of a start phase, and firstSlots the number of
	// slots that it contains at least. With one slot, the first request would already cost as
	// much as at a full upstream, so none would be sent.
	firstShare = 0.125
	firstSlots = 2
	// stepFactor multiplies the share after a set of answers that are as fast as those of the
	// peers, and slowFactor after slower ones, so that an upstream that is permanently slow
	// ends its phase too.
	stepFactor = 2
	slowFactor = 1.2
	// slowRatio is the time of an answer relative to the peers from which it is slower, and
	// farSlowerRatio that from which the share is halved. Engines of one service differ by up
	// to 2.2 by their speed alone.
	slowRatio      = 2.5
	farSlowerRatio = 5
	// halvingInterval is the least time between two halvings. Rejections of requests that
	// were sent at the same time reach the owner in the reports of several VMs.
	halvingInterval = 200 * time.Millisecond
	// growthTime is the time in which the share doubles without any observation, so that
	// neither lost reports nor a lack of requests keep an upstream closed.
	growthTime = 1500 * time.Millisecond
	// maxFaults is the share of failures from which an upstream has to recover, and
	// minFaultWeight the least number of results that show it.
	maxFaults      = 0.5
	minFaultWeight = 3
)

// Cause is the reason of a start phase.
type Cause uint8

// The causes.
const (
	// Started means that another process of the upstream has started.
	Started Cause = iota + 1
	// Silent means that announcements are, or were, overdue.
	Silent
	// Failing means that more than half of the requests have failed.
	Failing
)

// String returns the name of the cause.
func (cause Cause) String() string {
	switch cause {
	case Started:
		return "started"
	case Silent:
		return "silent"
	case Failing:
		return "failing"
	default:
		return "none"
	}
}

// start is the start phase of an upstream.
type start struct {
	active bool
	// open is the share at the time at. It grows from then on.
	open float64
	at   time.Duration
	// set sums up the answers since the last change of the share.
	set      Answers
	halvedAt time.Duration
}

// first returns the share at the beginning of a start phase.
func first(state State) float64 {
	return min(1, max(firstShare, firstSlots/float64(max(1, state.Slots))))
}

// share returns the share of the slots that may be used, 1 outside of a start phase.
func (start *start) share(now time.Duration, state State) float64 {
	switch {
	case !start.active:
		return 1
	case state.Silent:
		return start.open
	default:
		return min(1, start.open*math.Exp2(float64(now-start.at)/float64(growthTime)))
	}
}

// set sets the share of an upstream, from which the next set of answers is counted.
func (known *upstream) setShare(now time.Duration, open float64) {
	known.start.open = max(first(known.state), open)
	known.start.at, known.start.set = now, Answers{}
}

// begin begins the start phase of an upstream, or begins it once more.
func (tracker *Tracker) begin(now time.Duration, known *upstream, cause Cause) {
	again := known.start.active
	known.start = start{active: true, halvedAt: now}
	known.setShare(now, 0)
	if !again {
		tracker.changes = append(tracker.changes, Change{Upstream: known.state.Upstream, Kind: Began, Cause: cause, Open: known.start.open, Speed: 1})
	}
}

// advance applies answers to the start phase of an upstream.
func (tracker *Tracker) advance(now time.Duration, known *upstream, answers Answers, reference Times) {
	if !known.start.active || known.state.Silent {
		return
	}
	open := known.start.share(now, known.state)
	if open >= 1 {
		tracker.end(known)
		return
	}
	known.start.set.Add(answers)
	set := known.start.set
	ratio := relativeTime(set, reference)
	size := max(2, int(open*float64(known.state.Slots)))
	switch {
	case set.Rejections+set.Failures > 0 || set.Count+set.Pauses >= 2 && ratio > farSlowerRatio:
		if now-known.start.halvedAt < halvingInterval {
			known.start.set = Answers{}
			return
		}
		known.start.halvedAt = now
		known.setShare(now, open/stepFactor)
		return
	case set.Count+set.Untimed < size:
		return
	case ratio > slowRatio:
		open *= slowFactor
	default:
		open *= stepFactor
	}
	known.setShare(now, open)
	if open >= 1 {
		tracker.end(known)
	}
}

// end ends the start phase of an upstream.
func (tracker *Tracker) end(known *upstream) {
	known.start = start{}
	tracker.changes = append(tracker.changes, Change{Upstream: known.state.Upstream, Kind: Ended, Open: 1, Speed: 1})
}

// relativeTime returns the time of the answers relative to the reference, 1 if it is unknown.
func relativeTime(answers Answers, reference Times) float64 {
	switch {
	case answers.Count > 0 && reference.Answer > 0:
		return float64(answers.Total) / float64(answers.Count) / float64(reference.Answer)
	case answers.Pauses > 0 && reference.Pause > 0:
		return float64(answers.PauseTotal) / float64(answers.Pauses) / float64(reference.Pause)
	default:
		return 1
	}
}

// Admits reports whether one of several VMs may use the open slots of an upstream in its start
// phase until its next report. draw is a number from 0 to 1 that each VM draws anew after each
// report. VMs learn of each other's requests by reports only, so if all used the open slots,
// each would send one request at once. The VMs that are admitted send about as many as fit.
func Admits(open float64, slots, running, vms int, draw float64) bool {
	free := open*float64(slots) - float64(running)
	return free > 0 && draw*float64(vms) < free
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds.
const (
	// Began means that a start phase has begun.
	Began ChangeKind = iota + 1
	// Ended means that a start phase has ended.
	Ended
	// ClassChanged means that the class of the speed has changed.
	ClassChanged
)

// Class is a class of relative speeds.
type Class int8

// The classes.
const (
	Slow Class = iota - 1
	Usual
	Fast
)

// String returns the name of the class.
func (class Class) String() string {
	switch class {
	case Slow:
		return "slow"
	case Fast:
		return "fast"
	default:
		return "usual"
	}
}

// The relative speeds at which the class changes. A class is left at another speed than it is
// entered, so that a speed near a bound does not change it again and again.
const (
	enterSlow, leaveSlow = 0.7, 0.85
	leaveFast, enterFast = 1.2, 1.4
)

// next returns the class of a speed after the present class.
func (class Class) next(speed float64) Class {
	switch {
	case speed < enterSlow || class == Slow && speed < leaveSlow:
		return Slow
	case speed > enterFast || class == Fast && speed > leaveFast:
		return Fast
	default:
		return Usual
	}
}

// Change is a change of what is assumed of an upstream.
type Change struct {
	Upstream core.UpstreamID
	Kind     ChangeKind
	// Cause is the cause of a start phase that has begun.
	Cause Cause
	Class Class
	Speed float64
	Open  float64
}

// TakeChanges returns the changes since the last call.
func (tracker *Tracker) TakeChanges(now time.Duration) []Change {
	for _, id := range tracker.Upstreams(now) {
		known := tracker.upstreams[id]
		if known.start.active && known.start.share(now, known.state) >= 1 {
			tracker.end(known)
		}
		speed := tracker.Speed(now, id)
		if class := known.class.next(speed); class != known.class {
			known.class = class
			tracker.changes = append(tracker.changes, Change{Upstream: id, Kind: ClassChanged, Class: class, Speed: speed, Open: known.start.share(now, known.state)})
		}
	}
	changes := tracker.changes
	tracker.changes = nil
	return changes
}
