package quota

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// The requests of a workspace in any 8 s may exceed 1.1 times (rate x 8 s + burst) by 110,000
// tokens. The constants below use that allowance: leases carry at most 0.5 s of the rate into the
// 8 s, the grantor's debt is at most maxDebt, up to five new grantors in 8 s leave an earlyDebt each,
// and the own buckets of all VMs hold at most ownCapacity. A bucket holds minBurstTime of the rate at
// least. Their sum, 8.7 s of the rate + 1.1 bursts + 108,000 tokens, leaves 0.1 s of the rate and
// 2,000 tokens for the drift between clocks.
const (
	// leaseTime is the time from the sending of a request for which granted tokens may be used.
	// Tokens that were granted within that time may also be given back.
	leaseTime = 500 * time.Millisecond
	// maxDebt is how far a grant may take a bucket below zero. It admits the largest usual
	// requests, of 40,000 tokens, to a workspace with a small burst.
	maxDebt core.Tokens = 40_000
	// earlyDebtTime is the time for which a new grantor grants no more than earlyDebt. The grantor
	// before it may have granted maxDebt just before it ended, and only one such debt fits into 8 s.
	// A new grantor begins at least 1.5 s after the last grant of the one before.
	earlyDebtTime             = 9 * time.Second
	earlyDebt     core.Tokens = 2_000
	// minBurstTime is the time whose tokens a bucket holds at least, also with a burst of zero.
	minBurstTime = 50 * time.Millisecond

	// ownBurstShare, ownRateTime and maxOwnTokens define the capacity of the own buckets of all VMs
	// together: parts of the burst, seconds of the rate, and a number of tokens that is at most
	// ownMaxRateTime of the rate.
	ownBurstShare              = 0.1
	ownRateTime                = 150 * time.Millisecond
	ownMaxRateTime             = 2 * time.Second
	maxOwnTokens   core.Tokens = 58_000
	// ownRefillTime is the time without use after which an own bucket is full: what was used before
	// lies outside the 8 s, and the sum above counts each bucket once as full.
	ownRefillTime = 8500 * time.Millisecond
)

const (
	// AttachedTime is the time from the receipt of an answer for which a VM adds nothing to its
	// own buckets. countedTime is the shorter time from the sending of that answer for which the
	// grantor counts the VM's share as its own; the difference covers the drift between clocks.
	AttachedTime = 1200 * time.Millisecond
	countedTime  = 900 * time.Millisecond

	// KeepAlive is the longest time between two requests.
	KeepAlive = 400 * time.Millisecond
	// SettleTime is the longest time between two requests while the grantor does not count the
	// VM's share yet.
	SettleTime = 100 * time.Millisecond

	// forgetAfter is the time without a request after which the grantor gives a VM's share to
	// others. ownShareTime is the time from the receipt of an answer after which the VM stops
	// using its share.
	forgetAfter  = 5 * time.Minute
	ownShareTime = forgetAfter - 30*time.Second
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller returns.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// capacity returns the capacity of the grantor's bucket of a workspace.
func capacity(quota core.Quota) float64 {
	return max(1, float64(quota.Burst), minBurstTime.Seconds()*float64(quota.Rate))
}

// ownCapacity returns the capacity of the own buckets of all VMs together.
func ownCapacity(quota core.Quota) float64 {
	rate := float64(quota.Rate)
	return ownBurstShare*float64(quota.Burst) + ownRateTime.Seconds()*rate + min(float64(maxOwnTokens), ownMaxRateTime.Seconds()*rate)
}

// timeFor returns the time in which tokens come at a rate, at most maxRetryAfter.
func timeFor(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if tokens >= rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// returns spreads the times at which refused callers return. The zero value has refused none.
type returns struct {
	// next is the earliest time for the next refused caller.
	next time.Duration
}

// after returns the time after which a refused caller is to return who needs the tokens: wait, or
// later if callers that were refused before return then. The callers return at the given rate.
func (returns *returns) after(now, wait time.Duration, tokens, rate float64) time.Duration {
	at := max(returns.next, now+max(wait, minRetryAfter))
	at = min(at, now+maxRetryAfter)
	returns.next = at + timeFor(tokens, rate)
	return at - now
}

// Limited reports whether a workspace has a limit.
func Limited(workspaces []core.Workspace) bool {
	return slices.ContainsFunc(workspaces, func(workspace core.Workspace) bool { return workspace.Quota.Rate > 0 })
}
