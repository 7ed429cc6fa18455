package core

// Outcome states whether an upstream ran a request. The zero value is invalid.
type Outcome uint8

// Outcomes of a request.
const (
	// NotRun means that certainly no upstream ran the request.
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

// ParseOutcome converts the result of Outcome.String back to the outcome. It
// returns false if the text is not "not_run", "ran" or "unknown".
func ParseOutcome(text string) (Outcome, bool) {
	for _, outcome := range []Outcome{NotRun, Ran, Unknown} {
		if outcome.String() == text {
			return outcome, true
		}
	}
	return 0, false
}

// RefusalCode is a machine-readable reason for a refusal. Codes are part of the
// public API: their spelling and meaning must not change.
type RefusalCode string

// Refusal codes.
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
	CodeDeadlineExceeded   RefusalCode = "deadline"
	CodeCallerLeft         RefusalCode = "caller_left"
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

// Refusal is the error returned to a caller in place of an answer. It implements
// error.
type Refusal struct {
	Code    RefusalCode
	Outcome Outcome
	Message string
}

// Error returns "code (outcome): message".
func (refusal *Refusal) Error() string {
	return string(refusal.Code) + " (" + refusal.Outcome.String() + "): " + refusal.Message
}

// NewRefusal returns a Refusal with the outcome NotRun.
func NewRefusal(code RefusalCode, message string) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, Message: message}
}
