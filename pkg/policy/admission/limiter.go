package admission

import (
	"fmt"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Limiter bounds the rate and the concurrency of each customer on one VM. The zero
// value is ready to use. It is not safe for concurrent use; its owner locks it.
type Limiter struct {
	usage map[core.CustomerID]*usage
}

type usage struct {
	running int
	// tokens is the fill of the bucket; it holds at most one second's worth.
	tokens  float64
	updated time.Time
}

// Enter admits one request at the given time, or returns a refusal with the code
// rate_limited. Every admitted request must be ended with Leave.
func (limiter *Limiter) Enter(plan core.Plan, now time.Time) *core.Refusal {
	if limiter.usage == nil {
		limiter.usage = make(map[core.CustomerID]*usage)
	}
	entry, ok := limiter.usage[plan.Customer]
	if !ok {
		entry = &usage{tokens: burst(plan), updated: now}
		limiter.usage[plan.Customer] = entry
	}
	if plan.MaxConcurrent > 0 && entry.running >= plan.MaxConcurrent {
		return core.Refuse(core.CodeRateLimited, fmt.Sprintf("customer %q already has %d requests in flight on this VM", plan.Customer, entry.running))
	}
	if plan.MaxRequestsPerSecond > 0 {
		entry.refill(plan, now)
		if entry.tokens < 1 {
			return core.Refuse(core.CodeRateLimited, fmt.Sprintf("customer %q is over %g requests per second on this VM", plan.Customer, float64(plan.MaxRequestsPerSecond)))
		}
		entry.tokens--
	}
	entry.running++
	return nil
}

// Leave ends one admitted request of a customer.
func (limiter *Limiter) Leave(customer core.CustomerID) {
	if entry, ok := limiter.usage[customer]; ok && entry.running > 0 {
		entry.running--
	}
}

func (entry *usage) refill(plan core.Plan, now time.Time) {
	elapsed := now.Sub(entry.updated).Seconds()
	if elapsed > 0 {
		entry.tokens += elapsed * float64(plan.MaxRequestsPerSecond)
	}
	entry.tokens = min(entry.tokens, burst(plan))
	entry.updated = now
}

// burst is one second's worth of requests, and at least one.
func burst(plan core.Plan) float64 {
	return max(1, float64(plan.MaxRequestsPerSecond))
}
