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
	// idleTimeout bounds the age of an unused connection, since a connection can go
	// silent while nobody uses it.
	idleTimeout = 5 * time.Second
	// firstByteTimeout bounds the wait for the head of an answer, and after it for
	// the first token. It is a multiple of the 0.37 s within which 95 % of the
	// first tokens come at the design size.
	firstByteTimeout = 5 * time.Second
	// betweenTokensTimeout bounds the silence inside a stream, in which tokens come
	// every 65 ms at the design size.
	betweenTokensTimeout = 3 * time.Second
	// callTimeout bounds the wait for the answer of a plain service, which may work
	// for longer than an engine does on its first token.
	callTimeout     = 30 * time.Second
	idlePerUpstream = 64
)

// CallError states why a call did not end whole and what is known about its run.
type CallError struct {
	Outcome core.Outcome
	Code    core.RefusalCode
	// Lost is set if the connection to the upstream failed.
	Lost bool
	// Crashed is set if the upstream's process ended while it ran the call.
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

// Client sends orders and calls to upstreams. The zero value is not usable; see
// NewClient.
type Client struct {
	// shared reuses connections, for calls to engines, which may be repeated.
	shared *http.Client
	// single opens a connection for each call, for calls that may not be repeated.
	single *http.Client
	health health
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient() (*Client, func()) {
	shared := newTransport(firstByteTimeout)
	single := newTransport(callTimeout)
	single.DisableKeepAlives = true
	client := &Client{
		shared: &http.Client{Transport: shared, CheckRedirect: noRedirect},
		single: &http.Client{Transport: single, CheckRedirect: noRedirect},
	}
	return client, func() {
		shared.CloseIdleConnections()
		single.CloseIdleConnections()
	}
}

func newTransport(headTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   idlePerUpstream,
		ResponseHeaderTimeout: headTimeout,
		DisableCompression:    true,
	}
}

// noRedirect hands a redirect to the caller, since following it would run the call
// a second time.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// onceReader hides the type of a body, so that net/http cannot rewind it and send
// the request again.
type onceReader struct {
	io.Reader
}

// send sends one request and returns the response. A returned *CallError says
// whether any byte left this VM.
func (client *Client) send(ctx context.Context, single bool, method, url string, body []byte, headers []core.Header) (*http.Response, error) {
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
	transport := client.shared
	if single {
		transport = client.single
	}
	response, err := transport.Do(request)
	if err == nil {
		return response, nil
	}
	failure := &CallError{Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Lost: true, Err: err}
	if !written.Load() {
		failure.Outcome = core.NotRun
	}
	return nil, failure
}
