package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// serviceChunk is the size in bytes in which answers of services are passed on.
const serviceChunk = 32 << 10

// hopHeaders are meant for one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true,
}

// PassedOn returns the headers without those that are meant for one connection only
// and without the names in drop, which are in canonical form.
func PassedOn(headers http.Header, drop ...string) []core.Header {
	var result []core.Header
	for name, values := range headers {
		if hopHeaders[name] || contains(drop, name) {
			continue
		}
		for _, value := range values {
			result = append(result, core.Header{Name: name, Value: value})
		}
	}
	return result
}

func contains(names []string, name string) bool {
	for _, entry := range names {
		if entry == name {
			return true
		}
	}
	return false
}

// Call sends a call to a plain service and passes the answer to send. Any answer of
// the service counts as a run. It returns a *CallError if the answer is not whole.
func (client *Client) Call(ctx context.Context, address string, upstream core.UpstreamID, call core.Call, send func(core.Chunk) error) error {
	err := client.call(ctx, address, upstream, call, send)
	var failure *CallError
	if errors.As(err, &failure) && failure.Lost && closedByPeer(failure.Err) {
		failure.Crashed = failure.Outcome != core.NotRun && client.crashed(ctx, address, core.ServiceGroup, "")
	}
	client.observe(ctx, address, failure)
	return err
}

func (client *Client) call(ctx context.Context, address string, upstream core.UpstreamID, call core.Call, send func(core.Chunk) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headers := append([]core.Header{}, call.Headers...)
	headers = append(headers, core.Header{Name: "X-Attempt", Value: string(call.Attempt)})
	if call.IdempotencyKey != "" {
		headers = append(headers, core.Header{Name: "Idempotency-Key", Value: string(call.IdempotencyKey)})
	}
	response, err := client.send(ctx, !call.Repeatable, call.Method, "http://"+address+call.Path, call.Body, headers)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	silence := time.AfterFunc(callTimeout, cancel)
	defer silence.Stop()
	head := &core.Head{Status: response.StatusCode, Headers: PassedOn(response.Header), Upstream: upstream}
	return relayBody(response.Body, call.Attempt, head, silence, send)
}

// relayBody passes the bytes of an answer on. The first chunk carries the head, even
// if there are no bytes.
func relayBody(body io.Reader, attempt core.AttemptID, head *core.Head, silence *time.Timer, send func(core.Chunk) error) error {
	buffer := make([]byte, serviceChunk)
	for {
		count, err := body.Read(buffer)
		silence.Reset(callTimeout)
		if count > 0 || head != nil {
			chunk := core.Chunk{Attempt: attempt, Head: head, Data: append([]byte(nil), buffer[:count]...)}
			if err := send(chunk); err != nil {
				return sendError(err)
			}
			head = nil
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &CallError{Outcome: core.Ran, Code: core.CodeStreamBroken, Lost: true, Err: errors.Wrap(err, "read answer")}
		}
	}
}
