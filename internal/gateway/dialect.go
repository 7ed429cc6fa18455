package gateway

import (
	"net/http"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Request is what the gateway needs to know of a caller's request.
type Request struct {
	ID core.RequestID
	// Weights is zero for a request to a plain service.
	Weights core.WeightKey
	// Patience is the time that the caller will wait, zero if it does not say.
	Patience time.Duration
	// LastEvent is the event behind which a stream is to go on, empty for a new one.
	LastEvent string
}

// Send is one send of a request to an upstream.
type Send struct {
	Upstream core.UpstreamID
	// Left is the time that the caller still waits.
	Left time.Duration
	Rank int
	// Revision is the revision of the adapter that must run the request; zero for any.
	Revision  core.Revision
	LastEvent string
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// Foreign is set if the answer belongs to another request.
	Foreign bool
	// Signed is set if the upstream vouches for the answer.
	Signed bool
	// NotRun is set if the upstream says that it has not run the request.
	NotRun bool
	// Misdirected is set if the upstream is another one, or lacks the weights.
	Misdirected bool
}

// Dialect translates between the headers of callers and upstreams and the gateway.
type Dialect interface {
	// Parse reads a caller's request.
	Parse(request *http.Request) Request
	// Headers returns the headers of a send: those of the caller that are passed on, and
	// those of the gateway.
	Headers(caller http.Header, send Send) http.Header
	// Judge reads the head of an upstream's answer to a request.
	Judge(response *http.Response, request Request) Verdict
	// Refuse adds to the headers of an answer of the gateway's own.
	Refuse(header http.Header, request Request, retryAfter time.Duration)
}
