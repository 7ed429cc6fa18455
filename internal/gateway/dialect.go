package gateway

import (
	"net/http"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Request holds the properties of a caller's request that the gateway uses.
type Request struct {
	ID core.RequestID
	// Weights is zero for a request to a plain service.
	Weights core.WeightKey
	// Patience is the time for which the caller waits for the response, zero if the
	// request does not state it.
	Patience time.Duration
	// LastEvent is the ID of the event after which a stream is resumed, empty for a new
	// stream.
	LastEvent string
	// Origin is the request whose answer brought the first event of a stream that is resumed,
	// empty if the caller does not name it.
	Origin core.RequestID
	// Parts are the parts of the prompt in order, empty if the request does not state them.
	Parts []core.PartID
	// Key is the API key, empty unless KeyHeaders is 1. It must not be logged.
	Key string
	// KeyHeaders is the number of headers with a key. A key is accepted only if it is 1.
	KeyHeaders int
	// Prompt is the number of tokens of the prompt, zero if the request states none.
	Prompt core.Tokens
	// Tokens is the number of tokens that the request states to use, zero if it states none.
	Tokens core.Tokens
}

// Send holds the values that the gateway adds to one send of a request to an upstream.
type Send struct {
	Upstream core.UpstreamID
	// Left is the time until the deadline of the request.
	Left time.Duration
	Rank int
	// Revision is the revision of the adapter that must run the request, zero for any.
	Revision core.Revision
	// LastEvent is the ID of the event after which a stream is resumed, empty for a new
	// stream.
	LastEvent string
	// Workspace is the workspace of the caller, empty if there is none.
	Workspace core.WorkspaceID
}

// Resumption names the stream that a request continues.
type Resumption struct {
	// LastEvent is the ID of the last event that the caller has received, empty for a new
	// stream, and Origin the request whose answer brought the first one.
	LastEvent string
	Origin    core.RequestID
}

// ResponseInfo holds what the head of an upstream's response states.
type ResponseInfo struct {
	// Identified is set if the response states to which request it belongs, and Foreign if
	// that is another one.
	Identified, Foreign bool
	// Signed is set if the response has the signature of the upstream.
	Signed bool
	// NotRun is set if the upstream states that it has not run the request.
	NotRun bool
	// Misdirected is set if the address belongs to another upstream now, or if the
	// upstream does not hold the weights.
	Misdirected bool
	// Limit is the limit that the upstream states, and LimitUnreadable is set if it states
	// one that cannot be read.
	Limit           core.RequestLimit
	LimitUnreadable bool
	// Rejections is the rate of rejections above which the upstream says that it falls over.
	Rejections core.RejectionLimit
}

// statesLimit reports whether the response says what limit the upstream has. A response that
// is not shown to be the upstream's own does not end a limit.
func (info ResponseInfo) statesLimit() bool {
	return !info.LimitUnreadable && !info.Misdirected && (info.Limit.Stated || info.Signed)
}

// Dialect translates between the HTTP headers of callers and upstreams and the types of
// the gateway.
type Dialect interface {
	// Parse reads a caller's request.
	Parse(request *http.Request) Request
	// Headers returns the headers of a send: those of the caller that are forwarded, and
	// those that the gateway adds. The caller's key and a workspace that it states are not
	// forwarded.
	Headers(caller http.Header, send Send) http.Header
	// HandoverHeaders returns the headers with which a request is handed over to another entry
	// VM: those of the caller, with the time that is left and the stream that the request
	// continues, and without its key and a workspace that it states.
	HandoverHeaders(caller http.Header, left time.Duration, resume Resumption) http.Header
	// Classify reads the head of an upstream's response to a request.
	Classify(response *http.Response, request Request) ResponseInfo
	// SetRefusalHeaders adds headers to a response that the gateway itself generates.
	// retryAfter is zero if the caller is not told when to retry.
	SetRefusalHeaders(header http.Header, request Request, retryAfter time.Duration)
}
