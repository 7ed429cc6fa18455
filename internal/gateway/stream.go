package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// readSize is the size in bytes of the reads from a stream. An event has some hundred
	// bytes.
	readSize = 8 << 10
	// passedEvents is the number of events from which the upstream has not crashed on the
	// request: it may crash as it writes the first one.
	passedEvents = 2
)

// stream forwards events as they arrive. Only complete events are forwarded, so that the
// stream can be resumed at another upstream. A stream that ends with its connection is
// complete if that is after an event. A pause does not end the stream: a busy
// engine may have returned the request to its queue, and there may be no other engine that
// could resume it.
func (attempt *attempt) stream(ctx context.Context, response *http.Response) nextStep {
	call := attempt.call
	memory, release := call.gateway.bodies.Reserve()
	defer release()
	splitter := eventSplitter{memory: memory}
	chunk := make([]byte, readSize)
	for {
		count, err := response.Body.Read(chunk)
		if count > 0 {
			attempt.heard()
		}
		whole, overBound := splitter.split(chunk[:count])
		if len(whole) > 0 {
			if !attempt.forwardEvents(response, whole) {
				attempt.drop()
				return finished
			}
			if id, ok := lastEventID(whole); ok {
				call.lastEvent = id
			}
		}
		switch {
		case overBound != nil:
			return attempt.streamBroken(ctx, overBound)
		case err == nil:
		case err == io.EOF && splitter.atBoundary() && (framed(response) || call.events > 0):
			return attempt.finishStream(response)
		default:
			return attempt.streamBroken(ctx, err)
		}
	}
}

// framed reports whether the response states where its body ends. Otherwise the body ends with
// the connection, and so does that of an upstream which crashes.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
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
	count := bytes.Count(whole, eventEnd)
	if call.events == 0 && count > 0 {
		attempt.noteBeginning()
	}
	call.events += count
	call.software = attempt.selection.Software
	if attempt.events < passedEvents && attempt.events+count >= passedEvents {
		attempt.passed()
	}
	attempt.events += count
	return http.NewResponseController(call.writer).Flush() == nil
}

// finishStream handles the regular end of a stream.
func (attempt *attempt) finishStream(response *http.Response) nextStep {
	call := attempt.call
	attempt.observe(fleet.Answered)
	call.outcome = core.Ran
	if attempt.events < passedEvents && framed(response) {
		attempt.passed()
	}
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

// maxEventBytes limits one event of a stream. An event holds some tokens of text.
const maxEventBytes = 64 << 10

// eventEnd ends a server-sent event.
var eventEnd = []byte("\n\n")

// eventSplitter splits a stream of server-sent events at the ends of events. The zero
// value is at the start of a stream.
type eventSplitter struct {
	// memory is the part of the gateway's memory for bodies that pending takes, unless it is
	// nil. An upstream may begin an event on each of its streams and never end it.
	memory *h1.Reservation
	// pending holds the bytes of the stream that were not returned yet, and returned the
	// number of bytes at its start that the last call returned.
	pending  []byte
	returned int
}

// split appends chunk to the stream and returns the events that are complete now. The
// result is valid until the next call. It returns an *h1.BoundError, after the events
// before it, if the next event is over maxEventBytes, and h1.ErrMemory if there is no memory
// for it.
func (splitter *eventSplitter) split(chunk []byte) ([]byte, error) {
	rest := copy(splitter.pending, splitter.pending[splitter.returned:])
	splitter.pending, splitter.returned = append(splitter.pending[:rest], chunk...), 0
	searched := max(0, rest-len(eventEnd)+1)
	if end := bytes.LastIndex(splitter.pending[searched:], eventEnd); end >= 0 {
		splitter.returned = searched + end + len(eventEnd)
	}
	var err error
	if len(splitter.pending)-splitter.returned > maxEventBytes {
		err = h1.NewBoundError("event", "bytes", maxEventBytes)
	} else if splitter.memory != nil {
		err = splitter.memory.Hold(cap(splitter.pending))
	}
	return splitter.pending[:splitter.returned], err
}

// atBoundary reports whether no part of an event is pending.
func (splitter *eventSplitter) atBoundary() bool { return len(splitter.pending) == splitter.returned }

// maxEventIDLength bounds the ID of an event that is put into a header, in bytes.
const maxEventIDLength = 256

// lastEventID returns the ID of the last event that has one, and false if there are neither IDs
// nor data. It returns "" if the stream cannot be continued after the events: they have data but
// no ID, or one that no header can carry.
func lastEventID(whole []byte) (string, bool) {
	at := bytes.LastIndex(whole, []byte("\nid:"))
	switch {
	case at >= 0:
		whole = whole[at+len("\nid:"):]
	case bytes.HasPrefix(whole, []byte("id:")):
		whole = whole[len("id:"):]
	default:
		return "", bytes.Contains(whole, []byte("data:"))
	}
	line, _, _ := bytes.Cut(whole, []byte("\n"))
	id := bytes.TrimSpace(line)
	if len(id) > maxEventIDLength || bytes.ContainsFunc(id, func(char rune) bool { return char < ' ' || char == 0x7f }) {
		return "", true
	}
	return string(id), true
}
