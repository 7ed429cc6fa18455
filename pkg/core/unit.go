package core

// Bytes is a size in bytes.
type Bytes int64

// Tokens is a number of model tokens.
type Tokens int64

// LoadsPerSecond is a rate of adapter loads from the weight store.
type LoadsPerSecond float64

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// RequestLimit is the rate of requests that an upstream takes from all VMs together. The
// zero value states no limit.
type RequestLimit struct {
	Stated bool
	Rate   RequestsPerSecond
}

// RejectionsPerSecond is a rate of rejected requests.
type RejectionsPerSecond float64

// RejectionLimit is the rate of rejections, for want of room, above which a brittle upstream
// falls over. The zero value states that the upstream is not brittle.
type RejectionLimit struct {
	Stated bool
	Rate   RejectionsPerSecond
}

// Priority is the scheduling priority of a request. Larger values are served
// first; the zero value is the lowest priority.
type Priority int
