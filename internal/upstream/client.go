package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// expiryInterval is the time between two searches for connections that were idle for
	// too long.
	expiryInterval = time.Second
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
	serviceTimeout = 30 * time.Second
)

// attemptHeader names the attempt in a request. An upstream that names it in the response
// as well gets more than one request on a connection: a late second copy of a response can
// be told from the response that is due only by that name.
const attemptHeader = "X-Attempt"

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
	// conns holds the connections that are used again.
	conns  *h1.Pool
	health healthTracker
}

// NewClient returns a client and a function that closes its idle connections.
func NewClient() (*Client, func()) {
	client := &Client{conns: &h1.Pool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { client.closeExpired(ctx) })
	return client, func() {
		cancel()
		running.Wait()
		client.conns.Close()
	}
}

// closeExpired closes, until ctx ends, the connections that were idle for too long.
func (client *Client) closeExpired(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			client.conns.CloseExpired(now)
		}
	}
}

// outgoing is one request to an upstream.
type outgoing struct {
	address string
	method  string
	// target is the request target: the path, and the query if there is one.
	target  string
	headers []core.Header
	body    []byte
	// attempt is the attempt that the response must name if the connection was used
	// before. It is empty for orders and probes, which have connections of their own.
	attempt core.AttemptID
	// headTimeout bounds the wait for the head of the response.
	headTimeout time.Duration
}

// head returns the request line and the headers, or an error if the method, the target or a
// header is invalid.
func (request *outgoing) head() ([]byte, error) {
	target, err := url.Parse("http://" + request.address + request.target)
	if err != nil {
		return nil, errors.Wrap(err, "parse request target")
	}
	if strings.ContainsFunc(request.method, isSpaceOrControl) {
		return nil, errors.Errorf("invalid method %q", request.method)
	}
	head := []byte(request.method + " " + target.RequestURI() + " HTTP/1.1\r\nHost: " + request.address + "\r\n")
	for _, header := range request.headers {
		if strings.ContainsAny(header.Name+header.Value, "\r\n\x00") {
			return nil, errors.Errorf("invalid header %q", header.Name)
		}
		head = append(head, header.Name+": "+header.Value+"\r\n"...)
	}
	if request.attempt == "" {
		head = append(head, "Connection: close\r\n"...)
	}
	if len(request.body) > 0 || request.method == http.MethodPost || request.method == http.MethodPut {
		head = append(head, "Content-Length: "+strconv.Itoa(len(request.body))+"\r\n"...)
	}
	return append(head, "\r\n"...), nil
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// send sends one request and returns the response, whose body the caller must close. The
// connection is closed when ctx ends. It returns a *CallError with the outcome core.NotRun
// if no part of the request was written, and core.Unknown otherwise.
func (client *Client) send(ctx context.Context, request outgoing) (*http.Response, error) {
	head, err := request.head()
	if err != nil {
		return nil, &CallError{Outcome: core.NotRun, Code: core.CodeBadRequest, Err: errors.Wrap(err, "make request")}
	}
	key := h1.Key{Address: request.address}
	conn, err := client.connect(ctx, key, request.attempt != "")
	if err != nil {
		return nil, &CallError{Outcome: core.NotRun, Code: core.CodeUpstreamFailed, Lost: true, Err: err}
	}
	watch := context.AfterFunc(ctx, func() { conn.Close() })
	response, sent, err := request.exchange(conn, head)
	if err != nil {
		watch()
		client.conns.Drop(key, conn)
		failure := &CallError{Outcome: core.Unknown, Code: core.CodeUpstreamFailed, Lost: true, Err: err}
		if sent == 0 {
			failure.Outcome = core.NotRun
		}
		return nil, failure
	}
	reusable := request.attempt != "" && response.Header.Get(attemptHeader) == string(request.attempt)
	response.Body = &pooledBody{ReadCloser: response.Body, release: func() {
		if watch() && reusable {
			client.conns.Put(key, conn)
		} else {
			client.conns.Drop(key, conn)
		}
	}}
	return response, nil
}

// exchange writes the request and reads the head of its response. It returns the number of
// bytes that may have been sent, also with an error, after which the connection must be
// closed.
func (request *outgoing) exchange(conn *h1.Conn, head []byte) (*http.Response, int, error) {
	slow := time.AfterFunc(request.headTimeout, func() { conn.Close() })
	defer slow.Stop()
	sent, err := conn.Send(head, request.body)
	if err != nil {
		return nil, sent, errors.Wrap(err, "send request")
	}
	response, err := conn.ReadResponse(request.method)
	if err != nil {
		return nil, sent, errors.Wrap(err, "receive response")
	}
	if !slow.Stop() {
		return nil, sent, errors.Errorf("no head of a response within %v", request.headTimeout)
	}
	if conn.Reused() && response.Header.Get(attemptHeader) != string(request.attempt) {
		return nil, sent, errors.New("the response on a reused connection names another attempt or none")
	}
	return response, sent, nil
}

// connect returns a connection to an upstream: a new one unless reuse is set.
func (client *Client) connect(ctx context.Context, key h1.Key, reuse bool) (*h1.Conn, error) {
	open := client.conns.Dial
	if reuse {
		open = func(ctx context.Context, key h1.Key) (*h1.Conn, error) { return client.conns.Get(ctx, key, 0) }
	}
	conn, err := open(ctx, key)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return conn, nil
}

// pooledBody is the body of a response. Close releases its connection, which is closed
// unless the body was read to its end.
type pooledBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close releases the connection.
func (body *pooledBody) Close() error {
	body.once.Do(body.release)
	return nil
}
