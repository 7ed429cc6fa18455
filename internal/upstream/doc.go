// Package upstream communicates with upstreams over HTTP: it receives their
// announcements, sends load and evict orders to model engines, and sends calls to
// engines and plain services.
//
// The package never repeats a call. Each call that may not be repeated uses a new
// connection, since net/http sends a request again if a reused connection turns out to
// be closed.
package upstream
