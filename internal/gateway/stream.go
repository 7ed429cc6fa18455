package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// readSize is the size in bytes of the reads from a stream. An event has some hundred
	// bytes.
	readSize = 8 << 10
)

// stream forwards events as they arrive. Only complete events are forwarded, so that the
// stream can be resumed at another upstream. A pause does not end the stream: a busy
// engine may have returned the request to its queue, and there may be no other engine that
// could resume it.
func (attempt *attempt) stream(ctx context.Context, response *http.Response) nextStep {
	call := attempt.call
	splitter := eventSplitter{}
	chunk := make([]byte, readSize)
	for {
		count, err := response.Body.Read(chunk)
		if whole := splitter.split(chunk[:count]); len(whole) > 0 {
			if !attempt.forwardEvents(response, whole) {
				attempt.drop()
				return finished
			}
			if id := lastEventID(whole); id != "" {
				call.lastEvent = id
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && splitter.atBoundary():
			return attempt.finishStream(response)
		default:
			return attempt.streamBroken(ctx, err)
		}
	}
}

// forwardEvents writes complete events to the caller, after the head of the first
// response. It returns false if the caller has disconnected.
func (attempt *attempt) forwardEvents(response *http.Response, whole []byte) bool {
	call := attempt.call
	if !call.committed {
		call.committed = true
		answerSeconds[call.kind()].UpdateDuration(call.start)
		copyEndToEnd(call.writer.Header(), response.Header)
		call.writer.WriteHeader(response.StatusCode)
	}
	if _, err := call.writer.Write(whole); err != nil {
		return false
	}
	return http.NewResponseController(call.writer).Flush() == nil
}

// finishStream handles the regular end of a stream.
func (attempt *attempt) finishStream(response *http.Response) nextStep {
	call := attempt.call
	attempt.observe(fleet.Answered)
	call.outcome = core.Ran
	call.gateway.conns.Put(attempt.key, attempt.conn)
	if !call.committed { // a stream without events
		copyEndToEnd(call.writer.Header(), response.Header)
		call.writer.WriteHeader(response.StatusCode)
	}
	return finished
}

// streamBroken handles a stream that ended with an error or within an event.
func (attempt *attempt) streamBroken(ctx context.Context, err error) nextStep {
	attempt.drop()
	attempt.connectionLost(ctx, "broken stream", err)
	return tryAnother
}

// eventSplitter splits a stream of server-sent events at the ends of events. The zero
// value is at the start of a stream.
type eventSplitter struct {
	// partial holds the bytes after the last complete event.
	partial []byte
}

// split appends chunk to the stream and returns the events that are complete now. The
// result is valid until the next call.
func (splitter *eventSplitter) split(chunk []byte) []byte {
	if len(chunk) == 0 {
		return nil
	}
	if len(splitter.partial) > 0 {
		chunk = append(splitter.partial, chunk...)
	}
	end := bytes.LastIndex(chunk, []byte("\n\n"))
	if end < 0 {
		splitter.partial = append([]byte(nil), chunk...)
		return nil
	}
	end += 2
	splitter.partial = append([]byte(nil), chunk[end:]...)
	return chunk[:end]
}

// atBoundary reports whether no part of an event is pending.
func (splitter *eventSplitter) atBoundary() bool { return len(splitter.partial) == 0 }

// lastEventID returns the ID of the last event that has one, or "".
func lastEventID(whole []byte) string {
	at := bytes.LastIndex(whole, []byte("\nid:"))
	switch {
	case at >= 0:
		whole = whole[at+len("\nid:"):]
	case bytes.HasPrefix(whole, []byte("id:")):
		whole = whole[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(whole, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
