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

// Priority is the scheduling priority of a request. Larger values are served
// first; the zero value is the lowest priority.
type Priority int
