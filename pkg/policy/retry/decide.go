package retry

import "github.com/dandelionring/dandelionring/pkg/core"

// SendCounts counts the previous sends of one request.
type SendCounts struct {
	// Sends is the number of times the request was sent to an upstream, and Runs the
	// number of those sends that ran or may have run.
	Sends, Runs int
}

// maxSends limits the sends of one request, including those that an upstream refused.
const maxSends = 4

// Allowed reports whether the request may be sent again. It must have been sent fewer than
// maxSends times. If it may have run, the route must be repeatable and allow another run
// by its MaxAttempts.
func Allowed(route *core.Route, counts SendCounts) bool {
	if counts.Sends >= maxSends {
		return false
	}
	if counts.Runs == 0 {
		return true
	}
	return route.Repeatable() && counts.Runs < max(1, route.MaxAttempts)
}
