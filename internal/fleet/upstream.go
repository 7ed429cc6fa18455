package fleet

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/brittle"
	"github.com/dandelionring/dandelionring/pkg/policy/pace"
	"github.com/dandelionring/dandelionring/pkg/policy/selection"
)

// upstream is the state of one upstream. The lock of the table guards it.
type upstream struct {
	instance core.Instance
	// position is the position in Table.all.
	position selection.Position
	// weights holds the weights that the owner of the engine has reported, under the
	// owner's token. Without such a report, the token is zero and the weights are those
	// that the engine announced.
	weights map[core.WeightKey]core.Revision
	token   core.FencingToken
	// running counts the requests in flight from this VM, otherRunning those from other
	// entry VMs.
	running, otherRunning int
	// ownPrompts and otherPrompts are the tokens of the prompts in flight of which no event has
	// arrived, of requests from this VM and from other entry VMs.
	ownPrompts, otherPrompts core.Tokens
	// inFlight counts the requests in flight from this VM by weights.
	inFlight map[core.WeightKey]int
	failures failureShare
	stated   statedLimit
	guard    brittle.Guard
	// unreported counts the requests sent since the last report of the other VMs' requests.
	unreported int
	// backoffUntil is the time until which no request is sent to it.
	backoffUntil time.Duration
	// ended is set once the process seemed to have ended, and endedSequence is the number of the
	// last announcement that was known then.
	ended         bool
	endedSequence uint64
	// connectFailures counts the successive results that were Unreachable.
	connectFailures int
	// answers sums up the answers since the last report.
	answers pace.Answers
	// owner is what the owner of the zone has said last of its pace.
	owner ownerPace
	// speed is the speed relative to the median, and open the share of the slots that may be
	// used; zero means 1. service is the learned time of an answer, zero if unknown.
	speed, open float64
	service     time.Duration
	// draw decides whether this VM may use the open slots until the next report.
	draw float64
	// departed is closed once the process leaves, has ended or changes its software. It is nil while
	// nobody waits for that.
	departed chan struct{}
}

// wakeWaiting wakes those who wait for their turn at the process.
func (upstream *upstream) wakeWaiting() {
	if upstream.departed != nil {
		close(upstream.departed)
		upstream.departed = nil
	}
}

// failureShare is the share of recent requests that failed, as an exponential moving
// average. It decays with time, so that an upstream to which nothing is sent is tried again.
type failureShare struct {
	share float64
	at    time.Duration
}

const (
	// failureWeight is the weight of one result in the average.
	failureWeight = 0.15
	// failureHalfLife is the time in which the share decays to a half.
	failureHalfLife = 3 * time.Second
)

// value returns the share at a time, from 0 to 1.
func (failures *failureShare) value(now time.Duration) float64 {
	if failures.share == 0 {
		return 0
	}
	return failures.share * math.Exp2(-float64(now-failures.at)/float64(failureHalfLife))
}

// observe adds the result of one request.
func (failures *failureShare) observe(now time.Duration, failed bool) {
	share := failures.value(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	failures.share, failures.at = share, now
}

// usable reports whether requests may be sent to the upstream.
func (upstream *upstream) usable() bool {
	return !upstream.instance.Leaving && !upstream.instance.Gone
}

// endedAnnouncements is the number of announcements after which a process that seemed to have
// ended is known to go on. The one that follows may have been made before.
const endedAnnouncements = 2

// software returns the version of the upstream's software. It is not known once the process
// seemed to have ended: another one may have started under its ID, with other software, and not
// have announced itself yet.
func (upstream *upstream) software() core.SoftwareVersion {
	if upstream.ended {
		return ""
	}
	return upstream.instance.Software
}

// heldRevision returns the revision of weights that the upstream holds, and false if it
// does not hold them.
func (upstream *upstream) heldRevision(key core.WeightKey) (core.Revision, bool) {
	revision, ok := upstream.weights[key]
	return revision, ok
}

// announcedWeights returns the base models, with revision zero, and the adapters that an
// upstream announced.
func announcedWeights(instance core.Instance) map[core.WeightKey]core.Revision {
	weights := make(map[core.WeightKey]core.Revision)
	for _, model := range instance.Models {
		weights[core.WeightKey{Model: model.Model}] = 0
		for adapter, revision := range model.Adapters {
			weights[core.WeightKey{Model: model.Model, Adapter: adapter}] = revision
		}
	}
	return weights
}
