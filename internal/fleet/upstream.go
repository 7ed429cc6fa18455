package fleet

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// upstream is what the entry VM knows of one upstream. The lock of the table guards it.
type upstream struct {
	instance core.Instance
	// weights is what the owner of the engine says that it holds, at the owner's token;
	// without an owner it is what the engine announced.
	weights map[core.WeightKey]core.Revision
	token   core.FencingToken
	// running counts the requests in flight from this VM, others those of other VMs.
	running, others int
	// inFlight counts the requests in flight from this VM by weights.
	inFlight map[core.WeightKey]int
	faults   faults
	// barredUntil is the end of the time in which nothing is sent to it.
	barredUntil time.Duration
	failures    int
}

// faults is the share of recent answers that failed. It fades while nothing is sent, so
// that an upstream is tried again.
type faults struct {
	share float64
	at    time.Duration
}

const (
	// faultWeight is the weight of one answer in the share of faults.
	faultWeight = 0.15
	// faultHalfLife is the time in which the share fades to a half.
	faultHalfLife = 3 * time.Second
)

func (faults *faults) read(now time.Duration) float64 {
	return faults.share * math.Exp2(-float64(now-faults.at)/float64(faultHalfLife))
}

func (faults *faults) add(now time.Duration, failed bool) {
	share := faults.read(now) * (1 - faultWeight)
	if failed {
		share += faultWeight
	}
	faults.share, faults.at = share, now
}

// usable reports whether requests may be sent to the upstream.
func (upstream *upstream) usable() bool {
	return !upstream.instance.Leaving && !upstream.instance.Gone
}

// holds returns the revision of weights that the upstream holds.
func (upstream *upstream) holds(key core.WeightKey) (core.Revision, bool) {
	revision, ok := upstream.weights[key]
	return revision, ok
}

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
