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

// Room reports whether one more call would start immediately.
func (load Load) Room() bool { return load.InFlight+load.Extra < load.BatchSize }

// Idle reports whether the upstream runs no calls.
func (load Load) Idle() bool { return load.InFlight+load.Extra == 0 }

// Fill returns the fraction of the batch that is in use, from 0 to 1.
func (load Load) Fill() float64 {
	return min(1, float64(load.InFlight+load.Extra)/float64(max(1, load.BatchSize)))
}

// Model predicts the latency of calls to one upstream group from the running times of
// earlier calls. The zero value starts with a default running time.
type Model struct {
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

// Learn adds the running time of a call that ended to the moving average.
func (model *Model) Learn(serviceTime time.Duration) {
	model.meanServiceTime = model.Service() + time.Duration(smoothingFactor*float64(serviceTime-model.Service()))
}

// Service returns the moving average of the running time of calls.
func (model *Model) Service() time.Duration {
	if model.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return model.meanServiceTime
}

// FirstToken returns the expected time to the first token of a call that is sent to an
// upstream with the given load. Matched is the fraction, from 0 to 1, of its prompt that
// the upstream has cached.
func (model *Model) FirstToken(load Load, matched float64) time.Duration {
	expected := emptyBatchStep + time.Duration(load.Fill()*float64(fullBatchStep-emptyBatchStep))
	expected += time.Duration((1 - matched) * float64(prefillTime))
	if queuedAhead := load.InFlight + load.Extra - load.BatchSize + 1; queuedAhead > 0 {
		expected += time.Duration(queuedAhead) * model.Service() / time.Duration(max(1, load.BatchSize))
	}
	return expected
}

// Drain returns the expected time until the given number of waiting calls have started
// on upstreams that are full and together run batch calls concurrently.
func (model *Model) Drain(waiting, batch int) time.Duration {
	return time.Duration(waiting) * model.Service() / time.Duration(max(1, batch))
}
