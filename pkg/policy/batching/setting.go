package batching

import "time"

// Setting is the operator's weight between stalls and batch efficiency.
type Setting struct {
	// StallWeight is 1 if only stalls count and 0 if batch efficiency counts most.
	StallWeight float64
}

// fillWorth is the wait that one whole batch of fill is worth at StallWeight 0.
// It is the design's p95 target for the first token: no request is delayed by
// more than that for the sake of fill.
const fillWorth = 370 * time.Millisecond

// Cost returns the cost, in seconds, of a request that waits for wait on an
// engine whose batch is filled to the part fill (0 to 1). A lower cost is better.
func (setting Setting) Cost(wait time.Duration, fill float64) float64 {
	weight := setting.weight()
	return wait.Seconds() - (1-weight)*fillWorth.Seconds()*fill
}

// maxHold bounds the hold back of a request at StallWeight 0. An engine's step
// takes 20 ms to 65 ms, so a longer hold loses more than one step of work.
const maxHold = 40 * time.Millisecond

// Hold returns how long the first request for an idle engine is held back so
// that others join its batch. It is zero unless at least one other request is
// expected within the hold, and never takes more than a tenth of the time left.
func (setting Setting) Hold(arrivals float64, left time.Duration) time.Duration {
	hold := min(time.Duration((1-setting.weight())*float64(maxHold)), left/10)
	if arrivals*hold.Seconds() < 1 {
		return 0
	}
	return hold
}

func (setting Setting) weight() float64 { return min(1, max(0, setting.StallWeight)) }
