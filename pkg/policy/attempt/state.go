package attempt

// State is the state of a request. Zero is Admitted.
type State uint8

// The states of a request. Answered and Refused are final.
const (
	Admitted State = iota
	// Queued requests wait for their first or next attempt.
	Queued
	// Claimed requests hold their idempotency key and wait for an attempt.
	Claimed
	// Sent requests have an attempt on its way that gave no chunk yet.
	Sent
	// Running requests have an attempt that gave its head.
	Running
	// Resumed requests have passed tokens on, and wait for an attempt that goes on
	// behind them.
	Resumed
	Answered
	Refused
)

// String returns the lower-case name of the state, or "invalid".
func (state State) String() string {
	names := [...]string{"admitted", "queued", "claimed", "sent", "running", "resumed", "answered", "refused"}
	if int(state) >= len(names) {
		return "invalid"
	}
	return names[state]
}

// Final reports whether no event changes the state any more.
func (state State) Final() bool {
	return state == Answered || state == Refused
}

// Verdict says what happens to a chunk.
type Verdict uint8

// The verdicts on a chunk.
const (
	// Pass means that the chunk goes to the caller.
	Pass Verdict = iota + 1
	// Drop means that the chunk is late or doubled and has no effect.
	Drop
	// Mismatch means that the attempt runs another adapter version. It must be
	// cancelled and ended.
	Mismatch
	// Gap means that tokens are missing before the chunk. The attempt must be
	// cancelled and ended.
	Gap
)

// String returns the lower-case name of the verdict, or "invalid".
func (verdict Verdict) String() string {
	names := [...]string{"invalid", "pass", "drop", "mismatch", "gap"}
	if int(verdict) >= len(names) {
		return names[0]
	}
	return names[verdict]
}

// Action says what the request does after an attempt ended.
type Action uint8

// The actions after an attempt.
const (
	// Ignore means that the end belongs to a superseded attempt.
	Ignore Action = iota + 1
	// Finish means that the answer is whole.
	Finish
	// Retry means a new attempt from the start.
	Retry
	// Resume means a new attempt behind the tokens that were passed on.
	Resume
	// Restart means a new attempt from the start after the collected tokens, of
	// which the caller saw none, are dropped.
	Restart
	// Refuse means that the caller gets the refusal of the decision.
	Refuse
)

// String returns the lower-case name of the action, or "invalid".
func (action Action) String() string {
	names := [...]string{"invalid", "ignore", "finish", "retry", "resume", "restart", "refuse"}
	if int(action) >= len(names) {
		return names[0]
	}
	return names[action]
}

// Claim is the answer to the claim of an idempotency key.
type Claim uint8

// The answers to a claim.
const (
	// ClaimGranted means that the call may be sent.
	ClaimGranted Claim = iota + 1
	// ClaimInProgress means that another attempt holds the key.
	ClaimInProgress
	// ClaimDone means that the call ran and its outcome is recorded.
	ClaimDone
	// ClaimUnknown means that the holder was lost before it recorded an outcome.
	ClaimUnknown
	// ClaimConflict means that the key was used with other content.
	ClaimConflict
	// ClaimUnavailable means that no majority answered.
	ClaimUnavailable
)
