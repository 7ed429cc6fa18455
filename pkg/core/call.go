package core

import "time"

// RequestID names one request of a caller, over all its attempts.
type RequestID string

// Pin is what admission decided for a model request. It never changes between
// the attempts of one request.
type Pin struct {
	AdapterVersion
	Model  ModelID
	Config ConfigNumber
}

// Header is one HTTP header that is passed on.
type Header struct {
	Name  string
	Value string
}

// Call is one attempt of a request on its way from the entry VM to the owner of
// an upstream group.
type Call struct {
	Attempt  AttemptID
	Request  RequestID
	Customer CustomerID
	EntryVM  VMID
	Group    GroupID
	Pin      Pin
	Priority Priority
	// Deadline is the time that remains until the first byte must be answered.
	Deadline    time.Duration
	Fingerprint Fingerprint
	Method      string
	Path        string
	Headers     []Header
	Body        []byte
	// ResumeOffset is the number of tokens that the caller already has.
	ResumeOffset   Tokens
	IdempotencyKey IdempotencyKey
	// Repeatable calls may be run more than once.
	Repeatable bool
	// Suspect calls were in flight at the crash of an upstream and run alone.
	Suspect bool
	// Prefixes are hashes of the prompt's prefixes, the shortest first.
	Prefixes []uint64
	// CrossedZone is set if the entry VM is in another zone than the group.
	CrossedZone bool
}

// Head is what the upstream says before the first byte of an answer.
type Head struct {
	Status      int
	Headers     []Header
	Ran         AdapterVersion
	Upstream    UpstreamID
	Incarnation Incarnation
	Token       FencingToken
	// Queued is the time that the call waited at the owner.
	Queued time.Duration
	// Stalled is the part of Queued that was spent on the load of the adapter.
	Stalled time.Duration
}

// Chunk is a part of an answer. The first chunk of an attempt carries the head.
type Chunk struct {
	Attempt AttemptID
	Head    *Head
	Data    []byte
	// Offset is the number of tokens of the answer up to the end of Data,
	// counted from the start of the whole answer.
	Offset Tokens
}

// End closes an attempt. If Whole is false, Code and Message say why, and Outcome
// says what is known about the run.
type End struct {
	Attempt  AttemptID
	Whole    bool
	Outcome  Outcome
	Code     RefusalCode
	Message  string
	Tokens   Tokens
	Upstream UpstreamID
	// Incarnation is the run of the upstream that got the attempt.
	Incarnation Incarnation
	// Crashed is set if the upstream's process ended while it ran the attempt.
	Crashed bool
}

// EndRefused returns the end of an attempt that was refused.
func EndRefused(attempt AttemptID, refusal *Refusal) End {
	return End{Attempt: attempt, Outcome: refusal.Outcome, Code: refusal.Code, Message: refusal.Message}
}
