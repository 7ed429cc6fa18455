package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// deadline is the target in the design document for the time from the acceptance of a
// change until it is in force.
const deadline = 12 * time.Second

// updateRecorder records when each node receives each change.
type updateRecorder struct {
	sim     *simulation
	changes []time.Time
	// delays holds, per change and node, the time from the acceptance of the change to its
	// receipt. In reachableDelays, the time starts at the end of the node's last partition
	// if that is later.
	reachableDelays [][]time.Duration
	delays          [][]time.Duration
	// reconnected holds the end of the last partition of each node.
	reconnected map[*simulatedNode]time.Time
	nodeIndexes map[*simulatedNode]int
	// received holds the number of the newest configuration that each node has.
	received map[*simulatedNode]core.ConfigNumber
}

// notReceived marks a change that a node has not received.
const notReceived = time.Duration(-1)

func newUpdateRecorder(sim *simulation) *updateRecorder {
	recorder := &updateRecorder{sim: sim, reconnected: make(map[*simulatedNode]time.Time), nodeIndexes: make(map[*simulatedNode]int), received: make(map[*simulatedNode]core.ConfigNumber)}
	for i, node := range sim.nodes {
		recorder.nodeIndexes[node] = i
	}
	return recorder
}

// recordChange records that a change is accepted at the current time.
func (recorder *updateRecorder) recordChange() {
	recorder.changes = append(recorder.changes, recorder.sim.now)
	recorder.reachableDelays = append(recorder.reachableDelays, slices.Repeat([]time.Duration{notReceived}, len(recorder.sim.nodes)))
	recorder.delays = append(recorder.delays, slices.Repeat([]time.Duration{notReceived}, len(recorder.sim.nodes)))
}

// recordUpdates records the changes that a node received with its last message.
func (recorder *updateRecorder) recordUpdates(node *simulatedNode) {
	number := node.Index().Number()
	for received := recorder.received[node] + 1; received <= number; received++ {
		change := int(received) - 1
		now := recorder.sim.now
		delay := now.Sub(recorder.changes[change])
		recorder.delays[change][recorder.nodeIndexes[node]] = delay
		recorder.reachableDelays[change][recorder.nodeIndexes[node]] = min(delay, now.Sub(recorder.reconnected[node]))
	}
	recorder.received[node] = number
}

// updateSummary holds the metrics of the paper cited in the package comment, and the
// delays behind them. Changes whose deadline ends after the run are not included.
type updateSummary struct {
	// responsiveness is the median of 1 - L, where L is the fraction of the deadline that
	// passed before the update. A late or missing update counts as 0.
	responsiveness float64
	// effectiveness is the fraction of updates that arrived before the deadline.
	effectiveness float64
	// slowest is the longest delay, not counting the time in a partition.
	slowest time.Duration
	// missing is the number of updates that nodes outside a partition at the end of the
	// run have not received.
	missing int
	// median is the median delay; a late or missing update counts as the deadline.
	median time.Duration
	// changes is the number of accepted changes, including those near the end of the run.
	changes int
}

// summarize returns the metrics of the run up to the current time.
func (recorder *updateRecorder) summarize() updateSummary {
	var delays []time.Duration
	result := updateSummary{changes: len(recorder.changes)}
	inTime := 0
	for change, accepted := range recorder.changes {
		if recorder.sim.now.Sub(accepted) < deadline {
			break // the run ends before the deadline of this change
		}
		for i, node := range recorder.sim.nodes {
			delay := recorder.delays[change][i]
			if delay >= 0 && delay < deadline {
				inTime++
			} else {
				delay = deadline
			}
			delays = append(delays, delay)
			if recorder.reachableDelays[change][i] < 0 && !node.partitioned {
				result.missing++
			}
			result.slowest = max(result.slowest, recorder.reachableDelays[change][i])
		}
	}
	slices.SortFunc(delays, cmp.Compare[time.Duration])
	result.median = delays[len(delays)/2]
	result.responsiveness = 1 - float64(result.median)/float64(deadline)
	result.effectiveness = float64(inTime) / float64(len(delays))
	return result
}
