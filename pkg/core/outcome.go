package core

// Outcome states what is known about the run of a request. Zero is not a valid
// outcome.
type Outcome uint8

// The outcomes of a request.
const (
	// NotRun means that it is proved that no upstream ran the request.
	NotRun Outcome = iota + 1
	// Ran means that an upstream ran the request.
	Ran
	// Unknown means that an upstream may have run the request.
	Unknown
)

// String returns "not_run", "ran" or "unknown", and "invalid" for any other value.
func (outcome Outcome) String() string {
	switch outcome {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// ParseOutcome is the inverse of String. It returns false for any other text.
func ParseOutcome(text string) (Outcome, bool) {
	for _, outcome := range []Outcome{NotRun, Ran, Unknown} {
		if outcome.String() == text {
			return outcome, true
		}
	}
	return 0, false
}

// RefusalCode tells why a request was refused. Codes are part of the interface
// to callers and never change their meaning.
type RefusalCode string

// The codes of refusals.
const (
	CodeBadRequest         RefusalCode = "bad_request"
	CodeBodyTooLarge       RefusalCode = "body_too_large"
	CodeUnauthorized       RefusalCode = "unauthorized"
	CodeAdapterNotGranted  RefusalCode = "adapter_not_granted"
	CodeVersionNotGranted  RefusalCode = "version_not_granted"
	CodeServiceNotGranted  RefusalCode = "service_not_granted"
	CodeKeyRequired        RefusalCode = "idempotency_key_required"
	CodeKeyReused          RefusalCode = "idempotency_key_reused"
	CodeInProgress         RefusalCode = "in_progress"
	CodeOutcomeUnknown     RefusalCode = "outcome_unknown"
	CodeNoQuorum           RefusalCode = "no_quorum"
	CodeNoUpstream         RefusalCode = "no_upstream"
	CodeOverloaded         RefusalCode = "overloaded"
	CodeRateLimited        RefusalCode = "rate_limited"
	CodeDeadline           RefusalCode = "deadline"
	CodeConvicted          RefusalCode = "request_convicted"
	CodeConfigTooOld       RefusalCode = "config_too_old"
	CodeNoConfig           RefusalCode = "no_config"
	CodeAuditUnavailable   RefusalCode = "audit_unavailable"
	CodeUpstreamFailed     RefusalCode = "upstream_failed"
	CodeStreamBroken       RefusalCode = "stream_broken"
	CodeNotOwner           RefusalCode = "not_owner"
	CodeDraining           RefusalCode = "draining"
	CodeAdapterUnavailable RefusalCode = "adapter_unavailable"
)

// Refusal is the typed error that a caller gets instead of an answer.
type Refusal struct {
	Code    RefusalCode
	Outcome Outcome
	Message string
}

// Error returns the code, the outcome and the message.
func (refusal *Refusal) Error() string {
	return string(refusal.Code) + " (" + refusal.Outcome.String() + "): " + refusal.Message
}

// Refuse returns a refusal of a request that was not run.
func Refuse(code RefusalCode, message string) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, Message: message}
}
