package routing

import "time"

// Load is the estimated load of one upstream.
type Load struct {
	// InFlight is the number of calls that the owner of the group has sent to the
	// upstream and that have not ended.
	InFlight int
	// Extra is the part of the load in the last report that exceeded the owner's calls in
	// flight at the time of the report.
	Extra int
	// BatchSize is the number of calls that the upstream can run concurrently.
	BatchSize int
}

// HasCapacity reports whether one more call would start immediately.
func (load Load) HasCapacity() bool { return load.InFlight+load.Extra < load.BatchSize }

// Idle reports whether the upstream runs no calls.
func (load Load) Idle() bool { return load.InFlight+load.Extra == 0 }

// Fill returns the fraction of the batch that is in use, from 0 to 1.
func (load Load) Fill() float64 {
	return min(1, float64(load.InFlight+load.Extra)/float64(max(1, load.BatchSize)))
}

// LatencyModel predicts the latency of calls to one upstream group from the running times
// of earlier calls. The zero value starts with a default running time.
type LatencyModel struct {
	meanServiceTime time.Duration
}

const (
	// defaultServiceTime is the assumed running time before a call has ended.
	defaultServiceTime = time.Second
	// prefillTime is the time to process a prompt of which no part is cached.
	prefillTime = 60 * time.Millisecond
	// emptyBatchStep and fullBatchStep are the times of one decoding step with an empty
	// and a full batch. The design allows at most 65 ms between tokens.
	emptyBatchStep = 20 * time.Millisecond
	fullBatchStep  = 65 * time.Millisecond
	// smoothingFactor is the weight of the last call in the exponential moving average
	// of the running time.
	smoothingFactor = 1.0 / 64
)

// Observe adds the running time of a call that ended to the moving average.
func (model *LatencyModel) Observe(serviceTime time.Duration) {
	model.meanServiceTime = model.MeanServiceTime() + time.Duration(smoothingFactor*float64(serviceTime-model.MeanServiceTime()))
}

// MeanServiceTime returns the moving average of the running time of calls.
func (model *LatencyModel) MeanServiceTime() time.Duration {
	if model.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return model.meanServiceTime
}

// FirstToken returns the expected time to the first token of a call that is sent to an
// upstream with the given load. Matched is the fraction, from 0 to 1, of its prompt that
// the upstream has cached.
func (model *LatencyModel) FirstToken(load Load, matched float64) time.Duration {
	expected := emptyBatchStep + time.Duration(load.Fill()*float64(fullBatchStep-emptyBatchStep))
	expected += time.Duration((1 - matched) * float64(prefillTime))
	if queuedAhead := load.InFlight + load.Extra - load.BatchSize + 1; queuedAhead > 0 {
		expected += time.Duration(queuedAhead) * model.MeanServiceTime() / time.Duration(max(1, load.BatchSize))
	}
	return expected
}

// QueueDelay returns the expected time until the given number of waiting calls have started
// on upstreams that are full and together run batch calls concurrently.
func (model *LatencyModel) QueueDelay(waiting, batch int) time.Duration {
	return time.Duration(waiting) * model.MeanServiceTime() / time.Duration(max(1, batch))
}
