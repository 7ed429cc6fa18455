package residency

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// rate is a count that fades with time.
type rate struct {
	value float64
	at    time.Duration
}

func (rate *rate) read(now, halfLife time.Duration) float64 {
	return rate.value * math.Exp2(-float64(now-rate.at)/float64(halfLife))
}

// demand counts the requests for weights. Counts that have faded are forgotten.
type demand struct {
	halfLife time.Duration
	rates    map[core.WeightKey]*rate
	swept    time.Duration
}

// forgotten is the count below which demand is dropped.
const forgotten = 0.02

func (demand *demand) add(now time.Duration, key core.WeightKey, count float64) {
	known := demand.rates[key]
	if known == nil {
		known = &rate{at: now}
		demand.rates[key] = known
	}
	known.value = known.read(now, demand.halfLife) + count
	known.at = now
	demand.sweep(now)
}

func (demand *demand) of(now time.Duration, key core.WeightKey) float64 {
	known := demand.rates[key]
	if known == nil {
		return 0
	}
	return known.read(now, demand.halfLife)
}

func (demand *demand) sweep(now time.Duration) {
	if now-demand.swept < demand.halfLife {
		return
	}
	demand.swept = now
	for key, known := range demand.rates {
		if known.read(now, demand.halfLife) < forgotten {
			delete(demand.rates, key)
		}
	}
}
