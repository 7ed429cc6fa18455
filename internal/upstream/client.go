package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	dialTimeout = time.Second
	// idleTimeout bounds the time that a connection stays open unused, since an unused
	// connection can fail without notice.
	idleTimeout = 5 * time.Second
	// firstByteTimeout bounds the wait for the response headers of an engine, and then
	// the wait for the first token. It is a multiple of the 0.37 s within which 95 % of
	// the first tokens arrive at the design load.
	firstByteTimeout = 5 * time.Second
	// betweenTokensTimeout bounds the time without data in a stream. Tokens arrive every
	// 65 ms at the design load.
	betweenTokensTimeout = 3 * time.Second
	// serviceTimeout bounds the wait for the response headers of a plain service, and
	// then the time without data. A service may need longer than an engine needs for
	// its first token.
	serviceTimeout     = 30 * time.Second
	maxIdlePerUpstream = 64
)

// CallError states why a call has no complete answer and whether the upstream ran it.
type CallError struct {
	Outcome core.Outcome
	Code    core.RefusalCode
	// Lost is set if the connection to the upstream failed or timed out.
	Lost bool
	// Crashed is set if the upstream's process ended during the call.
	Crashed bool
	Err     error
}

// Error returns the code, the outcome and the cause.
func (err *CallError) Error() string {
	return fmt.Sprintf("%s (%s): %v", err.Code, err.Outcome, err.Err)
}

// Unwrap returns the cause.
func (err *CallError) Unwrap() error {
	return err.Err
}

// Client sends orders and calls to upstreams. Use NewClient to create one; the zero value
// is not usable.
type Client struct {
	// pooled reuses connections. It is used for requests that may be repeated.
	pooled *http.Client
	// unpooled opens a connection for each request. It is used for calls that may not be
	// repeated, and for probes.
	unpooled *http.Client
	health   healthTracker
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient() (*Client, func()) {
	pooled := newTransport(firstByteTimeout)
	unpooled := newTransport(serviceTimeout)
	unpooled.DisableKeepAlives = true
	client := &Client{
		pooled:   &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: unpooled, CheckRedirect: noRedirect},
	}
	return client, func() {
		pooled.CloseIdleConnections()
		unpooled.CloseIdleConnections()
	}
}

func newTransport(headTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   maxIdlePerUpstream,
		ResponseHeaderTimeout: headTimeout,
		DisableCompression:    true,
	}
}

// noRedirect makes the HTTP client return a redirect as the response, since following it
// would run the call a second time.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// onceReader hides the concrete type of a request body, so that net/http cannot rewind it
// and send the request again.
type onceReader struct {
	io.Reader
}

// send sends one request and returns the response. If unpooled is set, it opens a new
// connection. It returns a *CallError with the outcome core.NotRun if no part of the
// request was written, and core.Unknown otherwise.
func (client *Client) send(ctx context.Context, unpooled bool, method, url string, body []byte, headers []core.Header) (*http.Response, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
		WroteHeaders:     func() { written.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, &CallError{Outcome: core.NotRun, Code: core.CodeBadRequest, Err: errors.Wrap(err, "make request")}
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	for _, header := range headers {
		request.Header.Add(header.Name, header.Value)
	}
	httpClient := client.pooled
	if unpooled {
		httpClient = client.unpooled
	}
	response, err := httpClient.Do(request)
	if err == nil {
		return response, nil
	}
	failure := &CallError{Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Lost: true, Err: err}
	if !written.Load() {
		failure.Outcome = core.NotRun
	}
	return nil, failure
}
