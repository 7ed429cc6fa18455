package retry

import "github.com/dandelionring/dandelionring/pkg/core"

// History is what happened to one request so far.
type History struct {
	// Sends counts the upstreams that were sent the request, and Runs those of them
	// that ran it or may have.
	Sends, Runs int
}

// maxSends bounds the sends of one request, with those that an upstream refused.
const maxSends = 4

// May reports whether the rules of the route allow one more send. A request that no
// upstream ran may go on; one that may have run must be repeatable.
func May(route *core.Route, history History) bool {
	if history.Sends >= maxSends {
		return false
	}
	if history.Runs == 0 {
		return true
	}
	return route.Repeatable() && history.Runs < max(1, route.MaxAttempts)
}
