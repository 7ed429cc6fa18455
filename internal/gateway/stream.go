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
	// chunkBytes is the size of the reads of a stream. Events have some hundred bytes.
	chunkBytes = 8 << 10
)

// stream passes events on as they arrive. Only whole events are passed on, so that the
// stream can go on at another upstream. A pause does not end it: a busy engine may have
// put the request back, and there may be no other place to go on.
func (attempt *attempt) stream(ctx context.Context, response *http.Response) next {
	call := attempt.call
	events := events{}
	chunk := make([]byte, chunkBytes)
	for {
		count, err := response.Body.Read(chunk)
		if whole := events.add(chunk[:count]); len(whole) > 0 {
			if !attempt.pass(response, whole) {
				attempt.drop()
				return finished
			}
			if id := lastID(whole); id != "" {
				call.lastEvent = id
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && events.empty():
			return attempt.endStream(response)
		default:
			return attempt.breakStream(ctx, err)
		}
	}
}

// pass writes whole events to the caller, behind the head of the first answer. It returns
// false if the caller is gone.
func (attempt *attempt) pass(response *http.Response, whole []byte) bool {
	call := attempt.call
	if !call.committed {
		call.committed = true
		answerSeconds[call.kind()].UpdateDuration(call.start)
		copyHeader(call.writer.Header(), response.Header)
		call.writer.WriteHeader(response.StatusCode)
	}
	if _, err := call.writer.Write(whole); err != nil {
		return false
	}
	return http.NewResponseController(call.writer).Flush() == nil
}

func (attempt *attempt) endStream(response *http.Response) next {
	call := attempt.call
	attempt.observe(fleet.Answered)
	call.ended = core.Ran
	call.gateway.conns.Put(attempt.key, attempt.conn)
	if !call.committed { // a stream without events
		copyHeader(call.writer.Header(), response.Header)
		call.writer.WriteHeader(response.StatusCode)
	}
	return finished
}

// breakStream decides what follows when a stream ends before its end.
func (attempt *attempt) breakStream(ctx context.Context, err error) next {
	attempt.drop()
	attempt.lost(ctx, "broken stream", err)
	return again
}

// events splits a stream of server-sent events. The zero value is at its start.
type events struct {
	rest []byte
}

// add takes in more of the stream and returns the whole events that it ends. The result
// is valid until the next call.
func (events *events) add(chunk []byte) []byte {
	if len(chunk) == 0 {
		return nil
	}
	if len(events.rest) > 0 {
		chunk = append(events.rest, chunk...)
	}
	end := bytes.LastIndex(chunk, []byte("\n\n"))
	if end < 0 {
		events.rest = append([]byte(nil), chunk...)
		return nil
	}
	end += 2
	events.rest = append([]byte(nil), chunk[end:]...)
	return chunk[:end]
}

// empty reports whether the stream is between two events.
func (events *events) empty() bool { return len(events.rest) == 0 }

// lastID returns the id of the last event that has one.
func lastID(whole []byte) string {
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
