package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/sse"
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
	if call.committed && !sameContent(call.writer.Header(), response.Header) {
		return attempt.rejectContinuation("other content")
	}
	memory, release := call.gateway.bodies.Reserve()
	defer release()
	defer attempt.observePauses()
	splitter := eventSplitter{memory: memory}
	follows := call.committed
	chunk := make([]byte, readSize)
	for {
		count, err := response.Body.Read(chunk)
		if count > 0 {
			attempt.heard()
		}
		whole, events, overBound := splitter.split(chunk[:count])
		passed, inOrder := attempt.advance(events)
		if !inOrder {
			whole = whole[:endOf(events[:passed])]
		}
		if follows && len(whole) > 0 {
			// A byte order mark stands at the start of a stream only.
			whole, follows = bytes.TrimPrefix(whole, []byte(sse.Mark)), false
		}
		if len(whole) > 0 && !attempt.forwardEvents(response, whole, countEvents(events[:passed])) {
			attempt.drop()
			return abandoned
		}
		switch {
		case !inOrder:
			return attempt.rejectContinuation("event out of order")
		case overBound != nil:
			return attempt.streamBroken(ctx, overBound)
		case err == nil:
		case err == io.EOF && splitter.AtBoundary() && (!h1.MayBeCut(response) || attempt.events > 0):
			return attempt.finishStream(response)
		default:
			return attempt.streamBroken(ctx, err)
		}
	}
}

// forwardEvents writes count complete events to the caller, after the head of the first
// response. It returns false if the caller has disconnected.
func (attempt *attempt) forwardEvents(response *http.Response, whole []byte, count int) bool {
	call := attempt.call
	if !call.committed {
		call.committed = true
		answerSeconds[call.kind()].UpdateDuration(call.start)
		copyEndToEnd(call.writer.Header(), response.Header)
		call.writer.WriteHeader(response.StatusCode)
	}
	began := time.Now()
	if _, err := call.writer.Write(whole); err != nil {
		return false
	}
	if call.events == 0 && count > 0 {
		began = time.Now()
		call.firstEventAt = began
		attempt.noteBeginning()
	}
	if attempt.events == 0 && count > 0 {
		call.gateway.options.Table.PromptRead(attempt.selection, time.Since(call.sentAt))
	}
	call.events += count
	call.software = attempt.selection.Software
	if attempt.events < passedEvents && attempt.events+count >= passedEvents {
		attempt.passed()
	}
	attempt.events += count
	err := http.NewResponseController(call.writer).Flush()
	if !call.firstEventAt.IsZero() {
		call.writing += time.Since(began)
	}
	if count > 0 {
		attempt.observeEvents(count)
	}
	return err == nil
}

// finishStream handles the regular end of a stream.
func (attempt *attempt) finishStream(response *http.Response) nextStep {
	call := attempt.call
	attempt.observe(fleet.Answered)
	call.outcome = core.Ran
	if attempt.events < passedEvents && !h1.MayBeCut(response) {
		attempt.passed()
	}
	attempt.put()
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

// eventSplitter splits a stream of server-sent events within the bounds of the gateway. The zero
// value is at the start of a stream.
type eventSplitter struct {
	sse.Splitter
	// memory is the part of the gateway's memory for bodies that the event which is not
	// complete takes, unless it is nil. An upstream may begin an event on each of its streams
	// and never end it.
	memory *h1.Reservation
}

// split appends chunk to the stream and returns the bytes up to the end of the last event that
// is complete now, and the events in them. The results are valid until the next call. It returns
// an *h1.BoundError, after the events before it, if the next event is over maxEventBytes, and
// h1.ErrMemory if there is no memory for it.
func (splitter *eventSplitter) split(chunk []byte) ([]byte, []sse.Event, error) {
	whole, events := splitter.Split(chunk)
	var err error
	if len(splitter.Pending()) > maxEventBytes {
		err = h1.NewBoundError("event", "bytes", maxEventBytes)
	} else if splitter.memory != nil {
		err = splitter.memory.Hold(splitter.Capacity())
	}
	return whole, events, err
}

// maxEventIDLength bounds the ID of an event that is put into a header, in bytes.
const maxEventIDLength = 256

// advance moves the position of the caller behind the events. It stops at the first one that
// does not follow the position, if the upstream continues a stream, and returns its index and
// false. The events of the upstream that began the stream are forwarded in any order.
func (attempt *attempt) advance(events []sse.Event) (int, bool) {
	position := &attempt.call.position
	for i, event := range events {
		if !event.Counts() {
			continue
		}
		id := headerID(event.ID)
		if attempt.continues && len(id) > 0 && !position.Precedes(id) {
			return i, false
		}
		position.Pass(id)
	}
	return len(events), true
}

// endOf returns the offset of the end of the last event.
func endOf(events []sse.Event) int {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].End
}

// countEvents returns the number of the events without comments.
func countEvents(events []sse.Event) int {
	count := 0
	for _, event := range events {
		if event.Counts() {
			count++
		}
	}
	return count
}

// rejectContinuation handles an upstream whose response does not continue the stream.
func (attempt *attempt) rejectContinuation(reason string) nextStep {
	attempt.drop()
	attempt.observe(fleet.Failed)
	attempt.log(reason, nil)
	return tryAnother
}

// sameContent reports whether the bodies of two responses have the same media type and coding.
func sameContent(one, other http.Header) bool {
	oneType, _, _ := strings.Cut(one.Get("Content-Type"), ";")
	otherType, _, _ := strings.Cut(other.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(oneType), strings.TrimSpace(otherType)) &&
		strings.EqualFold(one.Get("Content-Encoding"), other.Get("Content-Encoding"))
}

// headerID returns the ID of an event as a header carries it, and nil if none can.
func headerID(id []byte) []byte {
	id = bytes.TrimSpace(id)
	if len(id) > maxEventIDLength {
		return nil
	}
	for _, char := range id {
		if char < ' ' || char == 0x7f {
			return nil
		}
	}
	return id
}
