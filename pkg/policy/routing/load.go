package routing

import "time"

// Load is what is known about the load of one upstream.
type Load struct {
	// InFlight counts the owner's own sends that have not ended.
	InFlight int
	// Extra is the load in the last report beyond the owner's sends at that time.
	Extra int
	// BatchSize is the number of calls that the upstream runs at once.
	BatchSize int
}

// Room reports whether one more call would run at once.
func (load Load) Room() bool { return load.InFlight+load.Extra < load.BatchSize }

// Idle reports whether the upstream runs nothing.
func (load Load) Idle() bool { return load.InFlight+load.Extra == 0 }

// Fill returns the filled part of the batch, from 0 to 1.
func (load Load) Fill() float64 {
	return min(1, float64(load.InFlight+load.Extra)/float64(max(1, load.BatchSize)))
}

// Model predicts times of one upstream group. The zero value uses defaults and
// learns from the calls that end.
type Model struct {
	service time.Duration
}

const (
	// defaultService is the running time of a call before one was seen.
	defaultService = time.Second
	// prefill is the time to read a prompt with no part of it cached.
	prefill = 60 * time.Millisecond
	// emptyStep and fullStep are the times of one step of an empty and a full
	// batch; the design's bound between tokens is 65 ms.
	emptyStep = 20 * time.Millisecond
	fullStep  = 65 * time.Millisecond
	// learning is the weight of one ended call in the mean running time.
	learning = 1.0 / 64
)

// Learn counts the running time of a call that ended.
func (model *Model) Learn(ran time.Duration) {
	model.service = model.Service() + time.Duration(learning*float64(ran-model.Service()))
}

// Service returns the mean running time of a call.
func (model *Model) Service() time.Duration {
	if model.service == 0 {
		return defaultService
	}
	return model.service
}

// FirstToken returns the expected time to the first token of a call that is sent
// now to an upstream that has cached the part matched (0 to 1) of its prompt.
func (model *Model) FirstToken(load Load, matched float64) time.Duration {
	expected := emptyStep + time.Duration(load.Fill()*float64(fullStep-emptyStep))
	expected += time.Duration((1 - matched) * float64(prefill))
	if ahead := load.InFlight + load.Extra - load.BatchSize + 1; ahead > 0 {
		expected += time.Duration(ahead) * model.Service() / time.Duration(max(1, load.BatchSize))
	}
	return expected
}

// Drain returns the expected time until waiting calls have started on upstreams
// that are full and run batch calls at once together.
func (model *Model) Drain(waiting, batch int) time.Duration {
	return time.Duration(waiting) * model.Service() / time.Duration(max(1, batch))
}
