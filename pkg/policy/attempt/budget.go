package attempt

import "time"

const (
	// retryShare is the share of requests that may be repeated, so that retries do
	// not multiply an overload.
	retryShare = 0.1
	// retryReserve lets the whole batch of a lost engine be repeated at once even
	// if few requests came before.
	retryReserve = 64
)

// Budget bounds the retries of one VM to a share of its requests. The zero value
// starts with a full reserve. It must not be used concurrently.
type Budget struct {
	spent float64
}

// Request adds the share of one request to the budget.
func (budget *Budget) Request() {
	budget.spent = max(0, budget.spent-retryShare)
}

// Take uses one retry and returns false if none is left.
func (budget *Budget) Take() bool {
	if budget.spent+1 > retryReserve {
		return false
	}
	budget.spent++
	return true
}

const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// backoff returns the wait before the retry with the number, which counts from
// one. The jitter is in [0, 1) and spreads the wait over its upper half.
func backoff(number int, jitter float64) time.Duration {
	wait := backoffMax
	if number < 10 {
		wait = min(backoffMax, backoffBase<<(number-1))
	}
	return wait/2 + time.Duration(jitter*float64(wait/2))
}
