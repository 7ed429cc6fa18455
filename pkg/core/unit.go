package core

// Bytes counts bytes.
type Bytes int64

// Tokens counts model tokens.
type Tokens int64

// LoadsPerSecond is a rate of adapter loads from the weight store.
type LoadsPerSecond float64

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// Priority orders work; a larger value is served first. The zero value is the
// lowest priority.
type Priority int
