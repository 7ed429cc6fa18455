package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Workload describes the calls of one run. Which adapter a call names follows a
// Zipf law over ranks; a shift moves the ranks to other adapters.
type Workload struct {
	Adapters int
	// Exponent is that of the Zipf law.
	Exponent float64
	Length   time.Duration
	// PerSecond is the mean rate of a Poisson process.
	PerSecond float64
	// Burst multiplies the rate between BurstFrom and BurstTo.
	Burst              float64
	BurstFrom, BurstTo time.Duration
	// Shift is the time at which the ranks move by a tenth of the adapters.
	Shift time.Duration
	// MinTokens and MaxTokens bound the length of an answer, drawn evenly.
	MinTokens, MaxTokens int
	Deadline             time.Duration
}

// request is one call of a workload.
type request struct {
	at      time.Duration
	adapter int
	tokens  int
}

// requests draws the calls of a run, in the order of their times.
func (workload Workload) requests(seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 1))
	names := random.Perm(workload.Adapters)
	sums := workload.sums()
	var list []request
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / workload.rate(at) * float64(time.Second))
		if at >= workload.Length {
			return list
		}
		rank := sort.SearchFloat64s(sums, random.Float64()*sums[len(sums)-1])
		if workload.Shift > 0 && at >= workload.Shift {
			rank = (rank + workload.Adapters/10) % workload.Adapters
		}
		tokens := workload.MinTokens + random.IntN(workload.MaxTokens-workload.MinTokens+1)
		list = append(list, request{at: at, adapter: names[rank], tokens: tokens})
	}
}

func (workload Workload) rate(at time.Duration) float64 {
	if at >= workload.BurstFrom && at < workload.BurstTo {
		return workload.PerSecond * workload.Burst
	}
	return workload.PerSecond
}

// ranks returns the rank of each adapter before the shift.
func (workload Workload) ranks(seed uint64) []int {
	names := rand.New(rand.NewPCG(seed, 1)).Perm(workload.Adapters)
	ranks := make([]int, len(names))
	for rank, adapter := range names {
		ranks[adapter] = rank
	}
	return ranks
}

// shifted returns the ranks after the shift.
func (workload Workload) shifted(ranks []int) []int {
	moved := make([]int, len(ranks))
	for adapter, rank := range ranks {
		moved[adapter] = (rank - workload.Adapters/10 + workload.Adapters) % workload.Adapters
	}
	return moved
}

// sums returns the cumulative weights of the ranks.
func (workload Workload) sums() []float64 {
	sums := make([]float64, workload.Adapters)
	total := 0.0
	for rank := range sums {
		total += math.Pow(float64(rank+1), -workload.Exponent)
		sums[rank] = total
	}
	return sums
}

func adapterName(number int) core.AdapterVersion {
	return core.AdapterVersion{Adapter: core.AdapterID(fmt.Sprintf("adapter-%05d", number)), Version: "1"}
}
