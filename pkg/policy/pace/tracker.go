package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// halfLife is the time in which an observation loses half of its weight. An engine may
	// become slow or fast within seconds.
	halfLife = 1500 * time.Millisecond
	// priorWeight is the number of observations that the reference counts as. An upstream
	// without new observations so returns to the reference within some half-lives, and a
	// single one shows little.
	priorWeight = 8
	// minWeight is the number of observations below which nothing is known.
	minWeight = 1
	// maxRatio bounds the mean of one report relative to the reference. A VM that was
	// suspended reports times that the upstream did not cause.
	maxRatio = 8
	// referenceAge is the time for which a reference from outside counts.
	referenceAge = 3 * time.Second
	// relateInterval is the time between two calculations of the median.
	relateInterval = 250 * time.Millisecond
	// silentRemoval is the time after which a silent upstream is forgotten.
	silentRemoval = time.Minute
)

// mean is a mean whose observations lose weight with time.
type mean struct {
	sum, weight float64
	at          time.Duration
}

// decay reduces the weight of the observations to their weight at a time.
func (mean *mean) decay(now time.Duration) {
	if now > mean.at {
		factor := math.Exp2(-float64(now-mean.at) / float64(halfLife))
		mean.sum *= factor
		mean.weight *= factor
		mean.at = now
	}
}

// observe adds count observations with a sum.
func (mean *mean) observe(now time.Duration, count int, sum float64) {
	if count <= 0 {
		return
	}
	mean.decay(now)
	mean.sum += sum
	mean.weight += float64(count)
}

// bounded returns the sum of count times, whose mean is bounded relative to the reference.
func bounded(count int, sum, reference time.Duration) float64 {
	if reference > 0 {
		sum = min(sum, time.Duration(count)*maxRatio*reference)
	}
	return float64(max(0, sum))
}

// value returns the mean, moved towards the reference the less observations there are. It
// returns zero if there are too few.
func (mean *mean) value(now, reference time.Duration) time.Duration {
	mean.decay(now)
	if mean.weight < minWeight || reference <= 0 && mean.weight < priorWeight {
		return 0
	}
	own := mean.sum / mean.weight
	if reference <= 0 || own <= 0 {
		return time.Duration(own)
	}
	return time.Duration(float64(reference) * math.Pow(own/float64(reference), mean.weight/(mean.weight+priorWeight)))
}

// State is what an upstream and the control VMs say of it.
type State struct {
	Upstream core.UpstreamID
	Born     int64
	Slots    int
	// Silent is set while its announcements are overdue.
	Silent bool
}

// upstream is what a Tracker knows of one upstream.
type upstream struct {
	state State
	// silentAt is the time from which it is silent.
	silentAt      time.Duration
	answer, pause mean
	// faults is the mean of 1 for each failure and 0 for each answer.
	faults mean
	start  start
	class  Class
}

// Tracker learns the times and the shares of the upstreams of one service. Times of its methods
// are readings of a monotonic clock. The zero value is ready to use. It is not safe for
// concurrent use.
type Tracker struct {
	upstreams map[core.UpstreamID]*upstream
	// began is the time of the first upstream.
	began time.Duration
	// reference holds the medians over all upstreams of the service, as others have stated
	// them at referenceAt.
	reference   Times
	referenceAt time.Duration
	// relation compares the upstreams of this tracker, as at relatedAt.
	relation  Relation
	values    []Value
	relatedAt time.Duration
	changes   []Change
}

// Set adds an upstream or updates its state. It begins the start phase of an upstream that has
// started after the first ones, that has started again, or that is silent or was.
func (tracker *Tracker) Set(now time.Duration, state State) {
	if tracker.upstreams == nil {
		tracker.upstreams = make(map[core.UpstreamID]*upstream)
		tracker.began = now
	}
	known := tracker.upstreams[state.Upstream]
	switch {
	case known == nil:
		known = &upstream{state: state}
		tracker.upstreams[state.Upstream] = known
		if now-tracker.began >= settleTime {
			tracker.begin(now, known, Started)
		}
	case known.state.Born != state.Born:
		*known = upstream{state: state, start: known.start, class: known.class}
		tracker.begin(now, known, Started)
	}
	if state.Silent && !known.state.Silent {
		known.silentAt = now
	}
	if state.Silent != known.state.Silent && now-tracker.began >= settleTime {
		tracker.begin(now, known, Silent)
	}
	known.state = state
}

// Remove removes an upstream.
func (tracker *Tracker) Remove(id core.UpstreamID) {
	delete(tracker.upstreams, id)
}

// Observe adds what a VM has observed of one process of an upstream.
func (tracker *Tracker) Observe(now time.Duration, id core.UpstreamID, born int64, answers Answers) {
	known := tracker.upstreams[id]
	if known == nil || known.state.Born != born {
		return
	}
	reference := tracker.referenceTimes(now)
	known.answer.observe(now, answers.Count, bounded(answers.Count, answers.Total, reference.Answer))
	known.pause.observe(now, answers.Pauses, bounded(answers.Pauses, answers.PauseTotal, reference.Pause))
	known.faults.observe(now, answers.Count+answers.Untimed, 0)
	known.faults.observe(now, answers.Failures, float64(answers.Failures))
	if answers.Failures > 0 && known.faults.weight >= minFaultWeight && known.faults.sum/known.faults.weight > maxFaults {
		tracker.begin(now, known, Failing)
	}
	tracker.advance(now, known, answers, reference)
}

// SetReference sets the medians over all upstreams of the service, of which this tracker may
// know a part.
func (tracker *Tracker) SetReference(now time.Duration, median Times) {
	if median != (Times{}) {
		tracker.reference, tracker.referenceAt = median, now
	}
}

// referenceTimes returns the medians over all upstreams of the service if others have stated
// them lately, else over those of this tracker.
func (tracker *Tracker) referenceTimes(now time.Duration) Times {
	if tracker.reference != (Times{}) && now-tracker.referenceAt < referenceAge {
		return tracker.reference
	}
	if now-tracker.relatedAt >= relateInterval {
		tracker.relatedAt = now
		tracker.values = tracker.values[:0]
		for _, known := range tracker.upstreams {
			times := known.times(now, Times{})
			tracker.values = append(tracker.values, Value{Times: times})
		}
		tracker.relation.Relate(tracker.values)
	}
	return tracker.relation.Median
}

// times returns the learned times.
func (known *upstream) times(now time.Duration, reference Times) Times {
	return Times{Answer: known.answer.value(now, reference.Answer), Pause: known.pause.value(now, reference.Pause)}
}

// Value returns what is known of an upstream, and false if it is unknown. Without observations
// its times go back to the medians of the service, and are unknown in the end.
func (tracker *Tracker) Value(now time.Duration, id core.UpstreamID) (Value, bool) {
	known := tracker.upstreams[id]
	if known == nil {
		return Value{Open: 1}, false
	}
	return Value{Slots: known.state.Slots, Times: known.times(now, tracker.referenceTimes(now)), Open: known.start.share(now, known.state)}, true
}

// Speed returns the speed of an upstream relative to the medians that the tracker knows.
func (tracker *Tracker) Speed(now time.Duration, id core.UpstreamID) float64 {
	value, _ := tracker.Value(now, id)
	return value.Times.Speed(tracker.referenceTimes(now))
}

// Upstreams returns the upstreams in the order of their IDs. It forgets those that have been
// silent for long.
func (tracker *Tracker) Upstreams(now time.Duration) []core.UpstreamID {
	ids := make([]core.UpstreamID, 0, len(tracker.upstreams))
	for id, known := range tracker.upstreams {
		if known.state.Silent && now-known.silentAt >= silentRemoval {
			delete(tracker.upstreams, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[core.UpstreamID])
	return ids
}
