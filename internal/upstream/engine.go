package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/sse"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// maxResponseBytes bounds the body of an engine's response to an order or a probe,
	// and of a refusal.
	maxResponseBytes = 64 << 10
	// maxEventBytes bounds the size of one server-sent event.
	maxEventBytes = 64 << 10
	// readBufferBytes is the size of the read buffer of one stream.
	readBufferBytes = 16 << 10
	// maxAnswerBytes bounds the body of the answer to a call. An engine or a service may
	// send without end.
	maxAnswerBytes = 64 << 20
)

// FencedError is returned if an engine refused an order or a call because it has seen a
// newer fencing token, LastToken.
type FencedError struct {
	LastToken core.FencingToken
}

// Error returns a message with the token that the engine has seen.
func (err *FencedError) Error() string {
	return "order refused, the engine has seen fencing token " + strconv.FormatUint(uint64(err.LastToken), 10)
}

// ErrNoSlot is returned by Load if the engine has no free slot.
var ErrNoSlot = errors.New("the engine has no free slot")

// order is the JSON body of a load or evict order.
type order struct {
	Adapter core.AdapterID
	Version core.Version
	Token   core.FencingToken
}

// orderResponse is the JSON body of an engine's response to an order, and of a refusal.
type orderResponse struct {
	Incarnation core.Incarnation
	Error       string
	LastToken   core.FencingToken
}

// Load orders an engine to load an adapter version and returns the engine's incarnation.
// It returns a *FencedError if the engine has seen the token of a later owner, and
// ErrNoSlot if the engine has no free slot.
func (client *Client) Load(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) (core.Incarnation, error) {
	answer, err := client.sendOrder(ctx, address, "load", adapter, token)
	if err != nil {
		return "", errors.Wrap(err, "load adapter")
	}
	return answer.Incarnation, nil
}

// Evict orders an engine to evict an adapter version. It returns a *FencedError if the
// engine has seen the token of a later owner.
func (client *Client) Evict(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) error {
	if _, err := client.sendOrder(ctx, address, "evict", adapter, token); err != nil {
		return errors.Wrap(err, "evict adapter")
	}
	return nil
}

// sendOrder sends a load or evict order and returns the engine's response. It returns a
// *CallError if the request failed.
func (client *Client) sendOrder(ctx context.Context, address, action string, adapter core.AdapterVersion, token core.FencingToken) (orderResponse, error) {
	body, err := json.Marshal(order{Adapter: adapter.Adapter, Version: adapter.Version, Token: token})
	if err != nil {
		return orderResponse{}, errors.Wrap(err, "encode order")
	}
	headers := []core.Header{{Name: "Content-Type", Value: "application/json"}}
	request := outgoing{address: address, method: http.MethodPost, target: "/v1/adapters/" + action, headers: headers, body: body, headTimeout: firstByteTimeout}
	response, err := client.send(ctx, request)
	if err != nil {
		return orderResponse{}, err
	}
	defer response.Body.Close()
	var result orderResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&result); err != nil {
		return orderResponse{}, errors.Wrap(err, "decode answer to order")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return result, nil
	case http.StatusConflict:
		return orderResponse{}, &FencedError{LastToken: result.LastToken}
	case http.StatusInsufficientStorage:
		return orderResponse{}, ErrNoSlot
	default:
		return orderResponse{}, errors.Errorf("engine answered %d: %s", response.StatusCode, result.Error)
	}
}

// Cancel cancels an attempt at an engine. It returns nil once the engine has confirmed
// that the attempt ended.
func (client *Client) Cancel(ctx context.Context, address string, attempt core.AttemptID) error {
	request := outgoing{address: address, method: http.MethodDelete, target: "/v1/attempts/" + string(attempt), headTimeout: firstByteTimeout}
	response, err := client.send(ctx, request)
	if err != nil {
		return errors.Wrap(err, "cancel attempt")
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("cancel attempt: engine answered %d", response.StatusCode)
	}
	return nil
}

// Ask returns the incarnation with which an engine answers a question on a new connection.
func (client *Client) Ask(ctx context.Context, address string) (core.Incarnation, error) {
	request := outgoing{address: address, method: http.MethodGet, target: "/v1/status", headTimeout: probeTimeout}
	response, err := client.send(ctx, request)
	if err != nil {
		return "", errors.Wrap(err, "ask for the status")
	}
	defer response.Body.Close()
	var status struct{ Incarnation core.Incarnation }
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&status); err != nil {
		return "", errors.Wrap(err, "decode the status")
	}
	return status.Incarnation, nil
}

// Run sends a call to an engine and passes the events of the answer to send. The first
// chunk carries the head. It returns the number of tokens of the answer so far, including
// those before call.ResumeOffset, and a *CallError if the stream did not reach its end
// marker.
func (client *Client) Run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, error) {
	tokens, incarnation, err := client.run(ctx, address, call, token, send)
	var failure *CallError
	if errors.As(err, &failure) && failure.Lost && closedByPeer(failure.Err) {
		failure.Crashed = failure.Outcome != core.NotRun && client.probeCrashed(ctx, address, core.EngineGroup, incarnation)
	}
	client.recordResult(ctx, address, failure)
	return tokens, err
}

// run is Run without recording the upstream's health. It also returns the engine's
// incarnation, or the empty string if there was no answer or the engine refused the call.
func (client *Client) run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, core.Incarnation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := outgoing{
		address: address, method: call.Method, target: call.Path, headers: runHeaders(call, token), body: call.Body,
		attempt: call.Attempt, headTimeout: firstByteTimeout,
	}
	response, err := client.send(ctx, request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, "", newRefusalError(response)
	}
	head := &core.Head{
		Status: response.StatusCode,
		Ran: core.AdapterVersion{
			Adapter: core.AdapterID(response.Header.Get("X-Adapter")),
			Version: core.Version(response.Header.Get("X-Version")),
		},
		Software:    core.SoftwareVersion(response.Header.Get("X-Software")),
		Upstream:    core.UpstreamID(response.Header.Get("X-Engine")),
		Incarnation: core.Incarnation(response.Header.Get("X-Incarnation")),
		Token:       token,
	}
	idleTimer := time.AfterFunc(firstByteTimeout, cancel)
	defer idleTimer.Stop()
	incarnation := head.Incarnation
	tokens, err := relayEvents(response.Body, call, head, idleTimer, send)
	return tokens, incarnation, err
}

// runHeaders returns the request headers of a call to an engine.
func runHeaders(call core.Call, token core.FencingToken) []core.Header {
	return []core.Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: attemptHeader, Value: string(call.Attempt)},
		{Name: "X-Adapter", Value: string(call.Pin.Adapter)},
		{Name: "X-Version", Value: string(call.Pin.Version)},
		{Name: "X-Priority", Value: strconv.Itoa(int(call.Priority))},
		{Name: "X-Resume-Offset", Value: strconv.FormatInt(int64(call.ResumeOffset), 10)},
		{Name: "X-Fencing-Token", Value: strconv.FormatUint(uint64(token), 10)},
	}
}

// newRefusalError converts an engine's error response to a *CallError. By the engine
// interface, the statuses 404, 409 and 503 mean that the call was not run; 400 is treated
// in the same way. After any other status the outcome is unknown.
func newRefusalError(response *http.Response) error {
	var result orderResponse
	_ = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&result)
	failure := &CallError{
		Outcome: core.Unknown,
		Code:    core.CodeUpstreamFailed,
		Err:     errors.Errorf("engine answered %d: %s", response.StatusCode, result.Error),
	}
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusServiceUnavailable:
		failure.Outcome, failure.Code = core.NotRun, core.CodeAdapterUnavailable
	case http.StatusConflict:
		failure.Outcome, failure.Code, failure.Err = core.NotRun, core.CodeNotOwner, &FencedError{LastToken: result.LastToken}
	case http.StatusBadRequest:
		failure.Outcome, failure.Code = core.NotRun, core.CodeBadRequest
	}
	return failure
}

// newBoundError returns the error of an answer with a part over its bound.
func newBoundError(part string, limit int64) *CallError {
	return &CallError{Outcome: core.Ran, Code: core.CodeStreamBroken, Lost: true, Err: h1.NewBoundError(part, "bytes", limit)}
}

// relayEvents passes on only complete events, so that a caller never receives part of an
// event if the stream breaks off. Each event with data is one token; the end marker is not
// passed on. Events that arrived together are passed on together. It returns the offset in
// tokens of the last complete event.
func relayEvents(body io.Reader, call core.Call, head *core.Head, idleTimer *time.Timer, send func(core.Chunk) error) (core.Tokens, error) {
	buffers := relayBufferPool.Get().(*relayBuffers)
	defer relayBufferPool.Put(buffers)
	buffers.splitter.Reset(readBufferBytes)
	relay := &eventRelay{call: call, head: head, offset: call.ResumeOffset, send: send, splitter: &buffers.splitter}
	total := 0
	for {
		count, err := body.Read(buffers.read[:])
		if total += count; total > maxAnswerBytes {
			return relay.offset, newBoundError("body", maxAnswerBytes)
		}
		ended, failure := relay.add(buffers.read[:count])
		if failure != nil {
			return relay.offset, failure
		}
		if ended {
			return relay.offset, relay.flush()
		}
		if err != nil {
			// Events that were complete before the stream broke off belong to the answer.
			if failure := relay.flush(); failure != nil {
				return relay.offset, failure
			}
			return relay.offset, &CallError{Outcome: core.Ran, Code: core.CodeStreamBroken, Lost: true, Err: errors.Wrap(err, "read stream")}
		}
		if len(relay.complete) == 0 {
			continue // lines without a token are no progress
		}
		idleTimer.Reset(betweenTokensTimeout)
		if err := relay.flush(); err != nil {
			return relay.offset, err
		}
	}
}

// relayBuffers are the buffers of one stream.
type relayBuffers struct {
	splitter sse.Splitter
	read     [readBufferBytes]byte
}

// relayBufferPool holds the buffers of ended streams for reuse.
var relayBufferPool = sync.Pool{New: func() any { return new(relayBuffers) }}

// eventRelay collects the events of one answer and passes them on in chunks.
type eventRelay struct {
	call core.Call
	send func(core.Chunk) error
	// head is nil after it has been passed on.
	head *core.Head
	// offset is the number of tokens of the answer up to the end of complete.
	offset   core.Tokens
	splitter *sse.Splitter
	// complete holds the complete events that are not passed on yet.
	complete []byte
}

// add adds a part of the stream. It returns true if the end marker has arrived, and a
// *CallError if an event exceeds maxEventBytes.
func (relay *eventRelay) add(part []byte) (bool, error) {
	whole, events := relay.splitter.Split(part)
	start := 0
	for _, event := range events {
		text := whole[start:event.End]
		start = event.End
		if len(text) > maxEventBytes {
			return false, newBoundError("event", maxEventBytes)
		}
		if !event.HasData {
			continue
		}
		if endsAnswer(text) {
			return true, nil
		}
		if token, ok := appendToken(relay.complete, text); ok {
			relay.complete = token
			relay.offset++
		}
	}
	if len(relay.splitter.Pending()) > maxEventBytes {
		return false, newBoundError("event", maxEventBytes)
	}
	return endsAnswer(relay.splitter.Pending()), nil
}

// flush passes on the head and the complete events. The receiver takes ownership of the
// data.
func (relay *eventRelay) flush() error {
	if len(relay.complete) == 0 && relay.head == nil {
		return nil
	}
	chunk := core.Chunk{Attempt: relay.call.Attempt, Head: relay.head, Data: relay.complete, Offset: relay.offset}
	relay.head, relay.complete = nil, nil
	return wrapSendError(relay.send(chunk))
}

// wrapSendError returns a *CallError for an answer that could not be passed on. The
// outcome is core.Ran, since the upstream ran the call.
func wrapSendError(err error) error {
	if err == nil {
		return nil
	}
	return &CallError{Outcome: core.Ran, Code: core.CodeStreamBroken, Err: errors.Wrap(err, "pass answer on")}
}
