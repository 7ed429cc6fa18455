package attempt

import "time"

const (
	// retryRatio is the number of retries allowed per request, so that retries do not
	// amplify an overload.
	retryRatio = 0.1
	// retryBurst is the number of retries allowed at once. It covers the whole batch
	// of a lost engine even if there were few requests before.
	retryBurst = 64
)

// Budget limits the retries of one VM to a fraction of its requests. The zero value
// allows a full burst of retries. A Budget is not safe for concurrent use.
type Budget struct {
	// used is the number of retries taken, less retryRatio for each request counted
	// since. It is between 0 and retryBurst.
	used float64
}

// AddRequest counts one request, which adds retryRatio to the budget.
func (budget *Budget) AddRequest() {
	budget.used = max(0, budget.used-retryRatio)
}

// Take consumes one retry. It returns false, and consumes nothing, if none is left.
func (budget *Budget) Take() bool {
	if budget.used+1 > retryBurst {
		return false
	}
	budget.used++
	return true
}

const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// backoff returns the delay before a retry; retry counts from 1. The delay starts at
// backoffBase and doubles with each retry up to backoffMax. The jitter in [0, 1) selects
// a point in the upper half of the delay.
func backoff(retry int, jitter float64) time.Duration {
	delay := backoffMax
	if retry < 10 {
		delay = min(backoffMax, backoffBase<<(retry-1))
	}
	return delay/2 + time.Duration(jitter*float64(delay/2))
}
