package attempt

// State is the state of a request. The zero value is Admitted.
type State uint8

// States of a request. Answered and Refused are final.
const (
	Admitted State = iota
	// Queued means that the request is waiting for its first or next attempt.
	Queued
	// Claimed means that the request holds its idempotency key and is waiting for
	// an attempt.
	Claimed
	// Sent means that the current attempt has not produced a chunk yet.
	Sent
	// Running means that a chunk of the current attempt was accepted with Pass.
	Running
	// Resumed means that an attempt failed after some of its tokens were accepted, and
	// that the attempt that continues after them either is not sent yet or has not
	// produced an accepted chunk yet.
	Resumed
	Answered
	Refused
)

// String returns the lower-case name of the state, or "invalid" for any other value.
func (state State) String() string {
	names := [...]string{"admitted", "queued", "claimed", "sent", "running", "resumed", "answered", "refused"}
	if int(state) >= len(names) {
		return "invalid"
	}
	return names[state]
}

// Final reports whether the state is Answered or Refused.
func (state State) Final() bool {
	return state == Answered || state == Refused
}

// Verdict states what must be done with a chunk.
type Verdict uint8

// Verdicts on a chunk.
const (
	// Pass means that the chunk is passed on to the caller, or collected if the answer
	// is buffered.
	Pass Verdict = iota + 1
	// Drop means that the chunk is ignored: it belongs to a superseded attempt or to
	// a finished request, or its tokens were passed on before.
	Drop
	// Mismatch means that the attempt runs an adapter version other than the pinned
	// one, or continues an answer that another software version began. The attempt must be cancelled and ended with RejectedChunkEnd.
	Mismatch
	// Gap means that the chunk does not continue the tokens passed on so far, or that
	// it is the first of its attempt and has no head. The attempt must be cancelled
	// and ended with RejectedChunkEnd.
	Gap
)

// String returns the lower-case name of the verdict, or "invalid" for any other
// value.
func (verdict Verdict) String() string {
	names := [...]string{"invalid", "pass", "drop", "mismatch", "gap"}
	if int(verdict) >= len(names) {
		return names[0]
	}
	return names[verdict]
}

// Action states what happens to a request after the end of an attempt.
type Action uint8

// Actions after the end of an attempt.
const (
	// Ignore means that the end belongs to a superseded attempt or to a finished
	// request.
	Ignore Action = iota + 1
	// Finish means that the answer is complete.
	Finish
	// Retry means that a new attempt starts from the beginning.
	Retry
	// Resume means that a new attempt continues after the tokens passed on so far.
	Resume
	// Restart means that the buffered tokens, none of which the caller has received,
	// are discarded and a new attempt starts from the beginning.
	Restart
	// Refuse means that the caller receives Decision.Refusal.
	Refuse
)

// String returns the lower-case name of the action, or "invalid" for any other value.
func (action Action) String() string {
	names := [...]string{"invalid", "ignore", "finish", "retry", "resume", "restart", "refuse"}
	if int(action) >= len(names) {
		return names[0]
	}
	return names[action]
}

// ClaimResult is the result of claiming an idempotency key.
type ClaimResult uint8

// Results of a claim.
const (
	// ClaimGranted means that the call may be sent.
	ClaimGranted ClaimResult = iota + 1
	// ClaimInProgress means that another call holds the key.
	ClaimInProgress
	// ClaimDone means that the call already ran and its outcome is recorded.
	ClaimDone
	// ClaimUnknown means that the holder of the key failed before it recorded an
	// outcome.
	ClaimUnknown
	// ClaimConflict means that the key was used for a call with different content.
	ClaimConflict
	// ClaimUnavailable means that no majority of the replicas answered.
	ClaimUnavailable
)
