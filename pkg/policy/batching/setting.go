package batching

import "time"

// Setting is the operator's trade-off between stalls and batch efficiency.
type Setting struct {
	// StallWeight ranges from 0, the highest weight of batch efficiency, to 1, where
	// only stalls count. Values outside that range count as the nearest limit.
	StallWeight float64
}

// fullBatchValue is the wait that offsets a full batch at StallWeight 0. It is the
// p95 target for the time to the first token, so that no request is delayed by more
// than the target for a fuller batch.
const fullBatchValue = 370 * time.Millisecond

// Cost returns the cost, in seconds, of sending a request to an engine with the
// given wait and batch fill. fill is the occupied fraction of the batch, from 0 to
// 1. A lower cost is better, and the cost may be negative.
func (setting Setting) Cost(wait time.Duration, fill float64) float64 {
	weight := setting.weight()
	return wait.Seconds() - (1-weight)*fullBatchValue.Seconds()*fill
}

// maxDelay is the maximum delay of a request at StallWeight 0. A decoding step of an
// engine takes 20 ms to 65 ms, so a longer delay loses more than one step of work.
const maxDelay = 40 * time.Millisecond

// BatchDelay returns how long the first request for an idle engine is delayed so that
// others can join its batch. arrivals is the expected number of requests per second,
// and left the time until the deadline. The result is zero unless at least one other
// request is expected within the delay, and at most a tenth of left.
func (setting Setting) BatchDelay(arrivals float64, left time.Duration) time.Duration {
	delay := min(time.Duration((1-setting.weight())*float64(maxDelay)), left/10)
	if arrivals*delay.Seconds() < 1 {
		return 0
	}
	return delay
}

// weight returns StallWeight, limited to the range from 0 to 1.
func (setting Setting) weight() float64 { return min(1, max(0, setting.StallWeight)) }
