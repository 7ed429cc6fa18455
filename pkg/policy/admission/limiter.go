package admission

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Limiter limits the request rate and the concurrency of each customer on one VM. The
// zero value is ready to use. It is not safe for concurrent use; callers must hold a
// lock.
type Limiter struct {
	usage map[core.CustomerID]*usage
}

type usage struct {
	inFlight int
	// tokens is the level of the token bucket that limits the rate.
	tokens  float64
	updated time.Time
}

// Acquire admits one request and returns nil, or returns a refusal with the code
// rate_limited. Release must be called once at the end of every admitted request.
func (limiter *Limiter) Acquire(plan core.Plan, now time.Time) *core.Refusal {
	if limiter.usage == nil {
		limiter.usage = make(map[core.CustomerID]*usage)
	}
	entry, ok := limiter.usage[plan.Customer]
	if !ok {
		entry = &usage{tokens: bucketCapacity(plan), updated: now}
		limiter.usage[plan.Customer] = entry
	}
	if plan.MaxConcurrent > 0 && entry.inFlight >= plan.MaxConcurrent {
		return core.NewRefusal(core.CodeRateLimited, fmt.Sprintf("customer %q already has %d requests in flight on this VM", plan.Customer, entry.inFlight))
	}
	if plan.MaxRequestsPerSecond > 0 {
		entry.refill(plan, now)
		if entry.tokens < 1 {
			return core.NewRefusal(core.CodeRateLimited, fmt.Sprintf("customer %q is over %g requests per second on this VM", plan.Customer, float64(plan.MaxRequestsPerSecond)))
		}
		entry.tokens--
	}
	entry.inFlight++
	return nil
}

// Release records the end of one admitted request of a customer.
func (limiter *Limiter) Release(customer core.CustomerID) {
	if entry, ok := limiter.usage[customer]; ok && entry.inFlight > 0 {
		entry.inFlight--
	}
}

// refill adds the tokens for the time since the last update. If the clock went
// backwards, it adds none until the clock has passed that time again.
func (entry *usage) refill(plan core.Plan, now time.Time) {
	if elapsed := now.Sub(entry.updated).Seconds(); elapsed > 0 {
		entry.tokens += elapsed * float64(plan.MaxRequestsPerSecond)
		entry.updated = now
	}
	entry.tokens = min(entry.tokens, bucketCapacity(plan))
}

// bucketCapacity returns the number of requests that the rate allows in one second,
// but at least 1.
func bucketCapacity(plan core.Plan) float64 {
	return max(1, float64(plan.MaxRequestsPerSecond))
}
