package pace

import (
	"math"
	"slices"
	"time"
)

// Answers sums up how an upstream has answered requests. The zero value holds none.
type Answers struct {
	// Count is the number of answers of calls, or first events of streams, to requests that
	// found a free slot (see Unhindered), and Total the time that they took.
	Count int
	Total time.Duration
	// Untimed is the number of the other answers, whose time includes a wait for a slot.
	Untimed int
	// Pauses is the number of pauses between events of streams, and PauseTotal their sum.
	Pauses     int
	PauseTotal time.Duration
	// Rejections counts the requests that the upstream rejected, Failures the other requests
	// that failed, also because it could not be reached.
	Rejections, Failures int
}

// Unhindered reports whether the time of a request that is sent to an upstream now is likely not
// to include a wait for a slot. Half of the slots must be free: requests of other VMs are known
// only from their last reports, so a single slot that seems free may be taken.
func Unhindered(requests, slots int) bool { return 2*requests < slots }

// Add adds other answers.
func (answers *Answers) Add(other Answers) {
	answers.Count += other.Count
	answers.Total += other.Total
	answers.Untimed += other.Untimed
	answers.Pauses += other.Pauses
	answers.PauseTotal += other.PauseTotal
	answers.Rejections += other.Rejections
	answers.Failures += other.Failures
}

// Times are the learned times of an upstream, or the medians of several. Zero is unknown.
type Times struct {
	// Answer is the time of one answer of a call, or until the first event of a stream, of a
	// request that finds a free slot.
	Answer time.Duration
	// Pause is the time between two events of a stream.
	Pause time.Duration
}

const (
	// minSpeed and maxSpeed bound the relative speed. A slower upstream still gets requests,
	// which show when it has become faster.
	minSpeed, maxSpeed = 0.25, 4
	// samePauses and sameAnswers are the differences from 1 up to which a speed counts as 1, if
	// it follows from pauses or from answers. Answers whose times have a relative deviation of
	// 0.5 have a mean with one of 0.15 if there are 11 of them in the time that counts.
	samePauses, sameAnswers = 0.05, 0.15
)

// Speed returns the speed of an upstream relative to the median: 2 is twice as fast. Pauses
// between events depend little on the load of an engine, so they are compared if they are known.
// Speed is 1 if nothing is known.
func (times Times) Speed(median Times) float64 {
	speed, same := 1.0, 0.0
	switch {
	case times.Pause > 0 && median.Pause > 0:
		speed, same = float64(median.Pause)/float64(times.Pause), samePauses
	case times.Answer > 0 && median.Answer > 0:
		speed, same = float64(median.Answer)/float64(times.Answer), sameAnswers
	}
	if math.Abs(speed-1) <= same {
		return 1
	}
	return min(maxSpeed, max(minSpeed, speed))
}

// Value is what is known of one upstream.
type Value struct {
	Slots int
	Times Times
	// Open is the share of the slots that may be used, regardless of other upstreams.
	Open float64
}

// Relation compares the upstreams of a service. The zero value compares with nothing. It keeps
// its buffers between calls of Relate.
type Relation struct {
	// Median holds the medians of the known times.
	Median Times
	// open is the share from which an upstream is not limited.
	open            float64
	answers, pauses []time.Duration
}

// Relate replaces the relation by that of the given upstreams.
func (relation *Relation) Relate(values []Value) {
	relation.answers, relation.pauses = relation.answers[:0], relation.pauses[:0]
	slots, open := 0.0, 0.0
	for _, value := range values {
		if value.Times.Answer > 0 {
			relation.answers = append(relation.answers, value.Times.Answer)
		}
		if value.Times.Pause > 0 {
			relation.pauses = append(relation.pauses, value.Times.Pause)
		}
		weight := float64(max(1, value.Slots))
		slots += weight
		open += weight * value.Open
	}
	relation.open = 1
	if slots > 0 {
		// With the square of the mean share, one upstream among many is limited to its own
		// share, and the more of a service has just started, the less each is limited.
		relation.open = (open / slots) * (open / slots)
	}
	relation.Median = Times{Answer: median(relation.answers), Pause: median(relation.pauses)}
}

// median returns the median, and zero if there are no times. It sorts them.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	middle := len(times) / 2
	if len(times)%2 == 0 {
		return (times[middle-1] + times[middle]) / 2
	}
	return times[middle]
}

// Open returns the share of its slots that an upstream may use, relative to the others: if all
// have just started, each may use all of its slots.
func (relation *Relation) Open(value Value) float64 {
	if value.Open >= relation.open {
		return 1
	}
	return value.Open / relation.open
}
