package core

import "time"

// RequestID identifies one request of a caller. All attempts of the request
// share it.
type RequestID string

// Pin is the adapter version, base model and configuration that admission selected
// for a request. All attempts of the request use the same Pin.
type Pin struct {
	AdapterVersion
	Model  ModelID
	Config ConfigNumber
}

// Header is one HTTP header that is forwarded.
type Header struct {
	Name  string
	Value string
}

// Call is one attempt of a request, as the entry VM sends it to the VM that owns
// the upstream group.
type Call struct {
	Attempt  AttemptID
	Request  RequestID
	Customer CustomerID
	EntryVM  VMID
	Group    GroupID
	Pin      Pin
	Priority Priority
	// Deadline is the time left until the first byte of the answer is due.
	Deadline    time.Duration
	Fingerprint Fingerprint
	Method      string
	Path        string
	Headers     []Header
	Body        []byte
	// ResumeOffset is the number of answer tokens that the caller already received.
	ResumeOffset Tokens
	// Software is the software version that wrote these tokens. Only an engine with it may
	// continue the answer.
	Software       SoftwareVersion
	IdempotencyKey IdempotencyKey
	// Repeatable is set if the call may run more than once.
	Repeatable bool
	// Suspect is set if a request with the same fingerprint was in flight when an
	// upstream crashed. An upstream runs such a call with no other call at the same time.
	Suspect bool
	// Prefixes are hashes of the prefixes of the prompt, shortest first.
	Prefixes []uint64
	// CrossedZone is set if the entry VM and the group are in different zones.
	CrossedZone bool
}

// Head is the metadata of an answer that precedes its first byte.
type Head struct {
	Status  int
	Headers []Header
	// Ran is the adapter version that the engine ran. It is empty for a plain service.
	Ran AdapterVersion
	// Software is the version of the engine's software, empty if it does not state one.
	Software    SoftwareVersion
	Upstream    UpstreamID
	Incarnation Incarnation
	// Token is the fencing token with which the attempt was sent to the engine. It is
	// zero for a plain service.
	Token FencingToken
	// Queued is the time that the call waited in the queue of the group's owner.
	Queued time.Duration
	// Stalled is the part of Queued during which the adapter was being loaded.
	Stalled time.Duration
}

// Chunk is a part of an answer. The first chunk of an attempt has a non-nil Head.
type Chunk struct {
	Attempt AttemptID
	Head    *Head
	Data    []byte
	// Offset is the number of tokens from the start of the whole answer to the
	// end of Data.
	Offset Tokens
}

// End is the final message of an attempt. If Whole is false, the answer is
// incomplete, Code and Message give the reason, and Outcome states whether an
// upstream ran the attempt.
type End struct {
	Attempt AttemptID
	Whole   bool
	Outcome Outcome
	Code    RefusalCode
	Message string
	// Tokens is, for a whole answer of an engine, the number of its tokens, including
	// those of earlier attempts.
	Tokens   Tokens
	Upstream UpstreamID
	// Incarnation is the incarnation of the upstream that received the attempt.
	Incarnation Incarnation
	// Crashed is set if the upstream's process exited while it ran the attempt.
	Crashed bool
}

// RefusedEnd returns an End with the code, outcome and message of the refusal.
func RefusedEnd(attempt AttemptID, refusal *Refusal) End {
	return End{Attempt: attempt, Outcome: refusal.Outcome, Code: refusal.Code, Message: refusal.Message}
}
