package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	maxOrderAnswer = 64 << 10
	// maxEvent bounds one server-sent event in bytes.
	maxEvent = 1 << 20
	// readBuffer is the size in bytes of the buffer of one stream. Longer lines are
	// put together from parts.
	readBuffer = 16 << 10
	// maxChunk is the size in bytes at which collected events are passed on.
	maxChunk = 32 << 10
)

// FencedError is returned if an engine refused an order with an old fencing token.
type FencedError struct {
	LastToken core.FencingToken
}

// Error returns the token that the engine has seen.
func (err *FencedError) Error() string {
	return "order refused, the engine has seen fencing token " + strconv.FormatUint(uint64(err.LastToken), 10)
}

// ErrNoSlot is returned for a load that the engine has no free slot for.
var ErrNoSlot = errors.New("the engine has no free slot")

type order struct {
	Adapter core.AdapterID
	Version core.Version
	Token   core.FencingToken
}

type orderAnswer struct {
	Incarnation core.Incarnation
	Error       string
	LastToken   core.FencingToken
}

// Load orders an engine to load an adapter version and returns the incarnation that
// holds it. It returns a *FencedError if the engine has seen a later owner.
func (client *Client) Load(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) (core.Incarnation, error) {
	answer, err := client.order(ctx, address, "load", adapter, token)
	if err != nil {
		return "", errors.Wrap(err, "load adapter")
	}
	return answer.Incarnation, nil
}

// Evict orders an engine to drop an adapter version. It returns a *FencedError if
// the engine has seen a later owner.
func (client *Client) Evict(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) error {
	if _, err := client.order(ctx, address, "evict", adapter, token); err != nil {
		return errors.Wrap(err, "evict adapter")
	}
	return nil
}

func (client *Client) order(ctx context.Context, address, action string, adapter core.AdapterVersion, token core.FencingToken) (orderAnswer, error) {
	body, err := json.Marshal(order{Adapter: adapter.Adapter, Version: adapter.Version, Token: token})
	if err != nil {
		return orderAnswer{}, errors.Wrap(err, "encode order")
	}
	headers := []core.Header{{Name: "Content-Type", Value: "application/json"}}
	response, err := client.send(ctx, false, http.MethodPost, "http://"+address+"/v1/adapters/"+action, body, headers)
	if err != nil {
		return orderAnswer{}, err
	}
	defer response.Body.Close()
	var answer orderAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxOrderAnswer)).Decode(&answer); err != nil {
		return orderAnswer{}, errors.Wrap(err, "decode answer to order")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return answer, nil
	case http.StatusConflict:
		return orderAnswer{}, &FencedError{LastToken: answer.LastToken}
	case http.StatusInsufficientStorage:
		return orderAnswer{}, ErrNoSlot
	default:
		return orderAnswer{}, errors.Errorf("engine answered %d: %s", response.StatusCode, answer.Error)
	}
}

// Cancel ends an attempt at an engine. It returns nil after the engine confirmed
// that the attempt has ended.
func (client *Client) Cancel(ctx context.Context, address string, attempt core.AttemptID) error {
	response, err := client.send(ctx, false, http.MethodDelete, "http://"+address+"/v1/attempts/"+string(attempt), nil, nil)
	if err != nil {
		return errors.Wrap(err, "cancel attempt")
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("cancel attempt: engine answered %d", response.StatusCode)
	}
	return nil
}

// Run sends a call to an engine and passes every event of the answer to send. The
// first chunk carries the head. It returns the number of tokens of the whole answer,
// and a *CallError if the stream did not reach its end marker.
func (client *Client) Run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, error) {
	tokens, incarnation, err := client.run(ctx, address, call, token, send)
	var failure *CallError
	if errors.As(err, &failure) && failure.Lost && closedByPeer(failure.Err) {
		failure.Crashed = failure.Outcome != core.NotRun && client.crashed(ctx, address, core.EngineGroup, incarnation)
	}
	client.observe(ctx, address, failure)
	return tokens, err
}

func (client *Client) run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, core.Incarnation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := client.send(ctx, false, call.Method, "http://"+address+call.Path, call.Body, runHeaders(call, token))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, "", refusedRun(response)
	}
	head := &core.Head{
		Status: response.StatusCode,
		Ran: core.AdapterVersion{
			Adapter: core.AdapterID(response.Header.Get("X-Adapter")),
			Version: core.Version(response.Header.Get("X-Version")),
		},
		Upstream:    core.UpstreamID(response.Header.Get("X-Engine")),
		Incarnation: core.Incarnation(response.Header.Get("X-Incarnation")),
		Token:       token,
	}
	silence := time.AfterFunc(firstByteTimeout, cancel)
	defer silence.Stop()
	incarnation := head.Incarnation
	tokens, err := relayEvents(response.Body, call, head, silence, send)
	return tokens, incarnation, err
}

func runHeaders(call core.Call, token core.FencingToken) []core.Header {
	return []core.Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: "X-Attempt", Value: string(call.Attempt)},
		{Name: "X-Adapter", Value: string(call.Pin.Adapter)},
		{Name: "X-Version", Value: string(call.Pin.Version)},
		{Name: "X-Priority", Value: strconv.Itoa(int(call.Priority))},
		{Name: "X-Resume-Offset", Value: strconv.FormatInt(int64(call.ResumeOffset), 10)},
		{Name: "X-Fencing-Token", Value: strconv.FormatUint(uint64(token), 10)},
	}
}

// refusedRun turns an engine's refusal into a CallError. The engine's interface says
// that 404, 409 and 503 mean that the call was not run.
func refusedRun(response *http.Response) error {
	var answer orderAnswer
	_ = json.NewDecoder(io.LimitReader(response.Body, maxOrderAnswer)).Decode(&answer)
	failure := &CallError{
		Outcome: core.Unknown,
		Code:    core.CodeUpstreamFailed,
		Err:     errors.Errorf("engine answered %d: %s", response.StatusCode, answer.Error),
	}
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusServiceUnavailable:
		failure.Outcome, failure.Code = core.NotRun, core.CodeAdapterUnavailable
	case http.StatusConflict:
		failure.Outcome, failure.Code, failure.Err = core.NotRun, core.CodeNotOwner, &FencedError{LastToken: answer.LastToken}
	case http.StatusBadRequest:
		failure.Outcome, failure.Code = core.NotRun, core.CodeBadRequest
	}
	return failure
}

var (
	dataPrefix = []byte("data: ")
	endMarker  = []byte("data: [DONE]")
)

// relayEvents passes on whole events, so that a break never leaves half an event at
// the caller. Each event is one token; the end marker is not passed on. Events that
// arrived together are passed on together.
func relayEvents(body io.Reader, call core.Call, head *core.Head, silence *time.Timer, send func(core.Chunk) error) (core.Tokens, error) {
	relay := &eventRelay{call: call, head: head, offset: call.ResumeOffset, send: send}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(body)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			// What arrived whole before the break is part of the answer.
			if failure := relay.flush(); failure != nil {
				return relay.offset, failure
			}
			return relay.offset, &CallError{Outcome: core.Ran, Code: core.CodeStreamBroken, Lost: true, Err: errors.Wrap(err, "read stream")}
		}
		if !relay.long && bytes.HasPrefix(line, endMarker) {
			return relay.offset, relay.flush()
		}
		if err := relay.add(line, err == nil); err != nil {
			return relay.offset, err
		}
		if reader.Buffered() > 0 && len(relay.whole) < maxChunk {
			continue
		}
		silence.Reset(betweenTokensTimeout)
		if len(relay.whole) == 0 {
			continue
		}
		if err := relay.flush(); err != nil {
			return relay.offset, err
		}
	}
}

// readers holds the buffers of streams that have ended.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// eventRelay collects the events of one answer.
type eventRelay struct {
	call core.Call
	send func(core.Chunk) error
	// head is nil once it was passed on.
	head *core.Head
	// offset is the number of tokens of the answer up to the end of whole.
	offset core.Tokens
	// whole holds events that are complete, partial the lines of the next one.
	whole   []byte
	partial []byte
	// long is set while a line is put together from parts.
	long bool
}

// add takes a line, or the part of a long line if ended is false.
func (relay *eventRelay) add(line []byte, ended bool) error {
	blank := ended && !relay.long && len(bytes.TrimSpace(line)) == 0
	relay.long = !ended
	relay.partial = append(relay.partial, line...)
	if len(relay.partial) > maxEvent {
		return &CallError{Outcome: core.Ran, Code: core.CodeStreamBroken, Err: errors.New("event over the limit")}
	}
	if !blank {
		return nil
	}
	if bytes.HasPrefix(relay.partial, dataPrefix) {
		relay.offset++
		relay.whole = append(relay.whole, relay.partial...)
	}
	relay.partial = relay.partial[:0]
	return nil
}

// flush passes on what is complete. The receiver keeps the data.
func (relay *eventRelay) flush() error {
	if len(relay.whole) == 0 && relay.head == nil {
		return nil
	}
	chunk := core.Chunk{Attempt: relay.call.Attempt, Head: relay.head, Data: relay.whole, Offset: relay.offset}
	relay.head, relay.whole = nil, nil
	return sendError(relay.send(chunk))
}

// sendError marks an answer that could not be passed on. The engine ran the call.
func sendError(err error) error {
	if err == nil {
		return nil
	}
	return &CallError{Outcome: core.Ran, Code: core.CodeStreamBroken, Err: errors.Wrap(err, "pass answer on")}
}
