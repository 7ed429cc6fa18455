package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// serviceChunkBytes is the maximum size of one chunk of a service's answer.
	serviceChunkBytes = 32 << 10
	// progressBytes is the number of bytes of a service's answer that count as progress. An
	// answer with less of them, and no complete event, within serviceTimeout has stalled.
	progressBytes = 1 << 10
)

// hopByHopHeaders apply to a single connection and must not be forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true,
}

// EndToEndHeaders returns the headers that may be forwarded: all but the hop-by-hop
// headers and the names in exclude, which must be in canonical form.
func EndToEndHeaders(headers http.Header, exclude ...string) []core.Header {
	var result []core.Header
	for name, values := range headers {
		if hopByHopHeaders[name] || contains(exclude, name) {
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

// Call sends a call to a plain service and passes the answer to send. A call with any
// answer, whatever its status, counts as run. It returns a *CallError if the answer is
// incomplete.
func (client *Client) Call(ctx context.Context, address string, upstream core.UpstreamID, call core.Call, send func(core.Chunk) error) error {
	err := client.call(ctx, address, upstream, call, send)
	var failure *CallError
	if errors.As(err, &failure) && failure.Lost && closedByPeer(failure.Err) {
		failure.Crashed = failure.Outcome != core.NotRun && client.probeCrashed(ctx, address, core.ServiceGroup, "")
	}
	client.recordResult(ctx, address, failure)
	return err
}

// call is Call without recording the upstream's health.
func (client *Client) call(ctx context.Context, address string, upstream core.UpstreamID, call core.Call, send func(core.Chunk) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headers := append([]core.Header{}, call.Headers...)
	headers = append(headers, core.Header{Name: attemptHeader, Value: string(call.Attempt)})
	if call.IdempotencyKey != "" {
		headers = append(headers, core.Header{Name: "Idempotency-Key", Value: string(call.IdempotencyKey)})
	}
	request := outgoing{
		address: address, method: call.Method, target: call.Path, headers: headers, body: call.Body, headTimeout: serviceTimeout,
	}
	if call.Repeatable {
		request.attempt = call.Attempt
	}
	response, err := client.send(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	idleTimer := time.AfterFunc(serviceTimeout, cancel)
	defer idleTimer.Stop()
	head := &core.Head{Status: response.StatusCode, Headers: EndToEndHeaders(response.Header), Upstream: upstream}
	var body io.Reader = response.Body
	if call.Method != http.MethodHead && response.StatusCode < http.StatusMultipleChoices && h1.MayBeCut(response) {
		body = &nonEmptyBody{Reader: body}
	}
	return relayBody(body, call.Attempt, head, idleTimer, send)
}

// nonEmptyBody is a body that is broken off if it ends without a byte.
type nonEmptyBody struct {
	io.Reader
	begun bool
}

// Read reads from the body.
func (body *nonEmptyBody) Read(buffer []byte) (int, error) {
	count, err := body.Reader.Read(buffer)
	body.begun = body.begun || count > 0
	if !body.begun && errors.Is(err, io.EOF) {
		return 0, io.ErrUnexpectedEOF
	}
	return count, err //nolint:wrapcheck // the callers test for io.EOF
}

// relayBody passes on the body of an answer in chunks. The first chunk carries the head,
// even if the body is empty. It returns a *CallError if the body could not be read or
// passed on.
func relayBody(body io.Reader, attempt core.AttemptID, head *core.Head, idleTimer *time.Timer, send func(core.Chunk) error) error {
	buffer := make([]byte, serviceChunkBytes)
	total, progress := 0, answerProgress{}
	for {
		count, err := body.Read(buffer)
		if total += count; total > maxAnswerBytes {
			return newBoundError("body", maxAnswerBytes)
		}
		if progress.advance(buffer[:count]) {
			idleTimer.Reset(serviceTimeout)
		}
		if count > 0 || head != nil {
			chunk := core.Chunk{Attempt: attempt, Head: head, Data: append([]byte(nil), buffer[:count]...)}
			if err := send(chunk); err != nil {
				return wrapSendError(err)
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

// answerProgress tells an answer that proceeds from one that sends a byte now and then. The
// zero value is at the start of an answer.
type answerProgress struct {
	// pending is the number of bytes since the last progress, and last the last bytes.
	pending int
	last    []byte
}

// eventEnds are the line ends that end a server-sent event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r"), []byte("\r\r")}

// maxEventEnd is the length in bytes of the longest of them.
const maxEventEnd = 2

// advance adds a part of the answer. It returns true once progressBytes have arrived since
// the last progress, or the empty line that ends a server-sent event.
func (progress *answerProgress) advance(part []byte) bool {
	if len(part) == 0 {
		return false
	}
	progress.pending += len(part)
	joint := append(progress.last, part[:min(len(part), maxEventEnd-1)]...)
	ends := false
	for _, end := range eventEnds {
		ends = ends || bytes.Contains(part, end) || bytes.Contains(joint, end)
	}
	progress.last = append(progress.last[:0], part[len(part)-1])
	if progress.pending < progressBytes && !ends {
		return false
	}
	progress.pending = 0
	return true
}
