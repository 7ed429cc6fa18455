package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Workload describes the calls of one simulation. The adapters of the calls follow a
// Zipf distribution over popularity ranks; a shift assigns the ranks to other adapters.
type Workload struct {
	Adapters int
	// Exponent is the exponent of the Zipf distribution.
	Exponent float64
	Length   time.Duration
	// PerSecond is the mean arrival rate of a Poisson process.
	PerSecond float64
	// Burst multiplies the arrival rate between BurstFrom and BurstTo.
	Burst              float64
	BurstFrom, BurstTo time.Duration
	// Shift is the time at which the ranks move by a tenth of the number of adapters; 0
	// disables it.
	Shift time.Duration
	// MinTokens and MaxTokens bound the response length, which is distributed uniformly.
	MinTokens, MaxTokens int
	Deadline             time.Duration
}

// request is one call of a workload: its arrival time, adapter and response length.
type request struct {
	at      time.Duration
	adapter int
	tokens  int
}

// requests generates the calls for a seed, sorted by arrival time.
func (workload Workload) requests(seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 1))
	adapterByRank := random.Perm(workload.Adapters)
	weights := workload.cumulativeWeights()
	var list []request
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / workload.rateAt(at) * float64(time.Second))
		if at >= workload.Length {
			return list
		}
		rank := sort.SearchFloat64s(weights, random.Float64()*weights[len(weights)-1])
		if workload.Shift > 0 && at >= workload.Shift {
			rank = (rank + workload.Adapters/10) % workload.Adapters
		}
		tokens := workload.MinTokens + random.IntN(workload.MaxTokens-workload.MinTokens+1)
		list = append(list, request{at: at, adapter: adapterByRank[rank], tokens: tokens})
	}
}

// rateAt returns the arrival rate per second at a time.
func (workload Workload) rateAt(at time.Duration) float64 {
	if at >= workload.BurstFrom && at < workload.BurstTo {
		return workload.PerSecond * workload.Burst
	}
	return workload.PerSecond
}

// ranks returns the popularity rank of each adapter before the shift.
func (workload Workload) ranks(seed uint64) []int {
	adapterByRank := rand.New(rand.NewPCG(seed, 1)).Perm(workload.Adapters)
	ranks := make([]int, len(adapterByRank))
	for rank, adapter := range adapterByRank {
		ranks[adapter] = rank
	}
	return ranks
}

// shiftedRanks returns the ranks after the shift, given those before it.
func (workload Workload) shiftedRanks(ranks []int) []int {
	moved := make([]int, len(ranks))
	for adapter, rank := range ranks {
		moved[adapter] = (rank - workload.Adapters/10 + workload.Adapters) % workload.Adapters
	}
	return moved
}

// cumulativeWeights returns the cumulative unnormalized probabilities of the ranks.
func (workload Workload) cumulativeWeights() []float64 {
	weights := make([]float64, workload.Adapters)
	total := 0.0
	for rank := range weights {
		total += math.Pow(float64(rank+1), -workload.Exponent)
		weights[rank] = total
	}
	return weights
}

func adapterVersion(number int) core.AdapterVersion {
	return core.AdapterVersion{Adapter: core.AdapterID(fmt.Sprintf("adapter-%05d", number)), Version: "1"}
}
