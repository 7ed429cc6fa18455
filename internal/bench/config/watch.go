package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// deadline is the target of the design page for a change to be in force.
const deadline = 12 * time.Second

// watch records when each node has each change.
type watch struct {
	fleet   *fleet
	changes []time.Time
	// updated holds the time since the change, or since the end of the node's cut if
	// that was later; waited that since the change alone.
	updated [][]time.Duration
	waited  [][]time.Duration
	healed  map[*node]time.Time
	index   map[*node]int
	has     map[*node]core.ConfigNumber
}

// never marks a node that has not got a change.
const never = time.Duration(-1)

func newWatch(fleet *fleet) *watch {
	watch := &watch{fleet: fleet, healed: make(map[*node]time.Time), index: make(map[*node]int), has: make(map[*node]core.ConfigNumber)}
	for i, one := range fleet.nodes {
		watch.index[one] = i
	}
	return watch
}

// changed records a change that was accepted now.
func (watch *watch) changed() {
	watch.changes = append(watch.changes, watch.fleet.now)
	watch.updated = append(watch.updated, slices.Repeat([]time.Duration{never}, len(watch.fleet.nodes)))
	watch.waited = append(watch.waited, slices.Repeat([]time.Duration{never}, len(watch.fleet.nodes)))
}

// saw records the changes that a node has got with its last message.
func (watch *watch) saw(one *node) {
	number := one.Book().Number()
	for known := watch.has[one] + 1; known <= number; known++ {
		change := int(known) - 1
		now := watch.fleet.now
		waited := now.Sub(watch.changes[change])
		watch.waited[change][watch.index[one]] = waited
		watch.updated[change][watch.index[one]] = min(waited, now.Sub(watch.healed[one]))
	}
	watch.has[one] = number
}

// summary is what the paper measures of a run.
type summary struct {
	// responsiveness is the median of 1 - L, with L the part of the deadline that
	// passed before the update; a later or missing update counts as zero.
	responsiveness float64
	effectiveness  float64
	// slowest is the longest time at a node that could be reached.
	slowest time.Duration
	// missing is the number of updates that a reachable node never got.
	missing int
	median  time.Duration
	changes int
}

func (watch *watch) summary() summary {
	var waits []time.Duration
	result := summary{changes: len(watch.changes)}
	inTime := 0
	for change, at := range watch.changes {
		if watch.fleet.now.Sub(at) < deadline {
			break // the run ended before its deadline
		}
		for i, one := range watch.fleet.nodes {
			wait := watch.waited[change][i]
			if wait >= 0 && wait < deadline {
				inTime++
			} else {
				wait = deadline
			}
			waits = append(waits, wait)
			if watch.updated[change][i] < 0 && !one.cut {
				result.missing++
			}
			result.slowest = max(result.slowest, watch.updated[change][i])
		}
	}
	slices.SortFunc(waits, cmp.Compare[time.Duration])
	result.median = waits[len(waits)/2]
	result.responsiveness = 1 - float64(result.median)/float64(deadline)
	result.effectiveness = float64(inTime) / float64(len(waits))
	return result
}
