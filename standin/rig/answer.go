package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// answer writes the response to one request in the format of its upstream.
type answer struct {
	conn     net.Conn
	upstream *upstream
	request  core.RequestID
}

// head returns the head of a response. A length below 0 stands for chunks, or for the end
// of the connection if the format has no length.
func (answer *answer) head(status, length int, extra ...string) string {
	headers := answer.upstream.headers
	lines := []string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)), headers.Request + ": " + string(answer.request)}
	lines = append(lines, extra...)
	switch {
	case length >= 0:
		lines = append(lines, fmt.Sprintf("Content-Length: %d", length))
	case answer.unframed():
		lines = append(lines, "Connection: close")
	default:
		lines = append(lines, "Transfer-Encoding: chunked")
	}
	if length >= 0 && answer.upstream.isLeaving() {
		lines = append(lines, "Connection: close")
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func (answer *answer) unframed() bool { return answer.upstream.options.Format.Unframed }

// reject states that the request does not run.
func (answer *answer) reject(status int) bool {
	_, err := answer.conn.Write([]byte(answer.head(status, 0, answer.upstream.headers.NotExecuted+": 1")))
	return err == nil
}

// whole writes a response with its length.
func (answer *answer) whole(status int, body []byte, signed bool) bool {
	extra := []string{"Content-Type: application/json"}
	if signed {
		extra = append(extra, answer.upstream.headers.Signature+": "+answer.signature())
	}
	text := answer.head(status, len(body), extra...) + string(body)
	return answer.send(text) == nil && !answer.upstream.isLeaving()
}

func (answer *answer) signature() string {
	return fmt.Sprintf("%s.%d", answer.request, answer.upstream.born.UnixMilli())
}

// send writes text, in parts that are cut anywhere if the format says so.
func (answer *answer) send(text string) error {
	for answer.upstream.options.Format.Split && len(text) > 1 {
		cut := 1 + answer.upstream.number(min(len(text)-1, 60))
		if _, err := answer.conn.Write([]byte(text[:cut])); err != nil {
			return errors.Wrap(err, "write a part")
		}
		text = text[cut:]
		if answer.upstream.percent(30) {
			// Makes most readers see the parts in reads of their own.
			pause(context.Background(), time.Millisecond)
		}
	}
	if _, err := answer.conn.Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}

// chunk returns text in the framing of the response.
func (answer *answer) chunk(text string) string {
	if answer.unframed() {
		return text
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// stream writes the events after last. It reports whether the connection may be used again.
func (answer *answer) stream(ctx context.Context, run string, last, count int) bool {
	format, options := answer.upstream.options.Format, answer.upstream.options
	if answer.unframed() {
		// A close without lingering resets the connection, also if the process is killed: an
		// answer without length must not look complete then.
		answer.linger(0)
	}
	if answer.send(answer.head(http.StatusOK, -1, "Content-Type: text/event-stream", answer.upstream.headers.Signature+": "+answer.signature())) != nil {
		return false
	}
	endAt, broken := count+1, false
	if answer.upstream.percent(format.ResetPercent) {
		endAt = last + 1 + answer.upstream.number(max(1, count-last))
	} else if answer.upstream.percent(format.BreakPercent) {
		endAt, broken = last+1+answer.upstream.number(max(1, count-last)), true
	}
	text := ""
	for number := last + 1; number <= count; number++ {
		if number > last+1 {
			pause(ctx, time.Duration(options.Spec.EventMillis)*time.Millisecond)
		}
		if ctx.Err() != nil {
			answer.linger(0)
			return false
		}
		event := eventText(Piece{Writer: run, Version: options.Software, Number: number, Of: count}, format.LineEnd)
		if number == endAt {
			return answer.breakOff(text, event, broken)
		}
		text += answer.pieces(event)
		if (number-last)%max(1, format.Batch) != 0 && number < count {
			continue
		}
		if answer.send(text) != nil {
			return false
		}
		text = ""
	}
	if answer.unframed() {
		answer.linger(-1)
		return false
	}
	return answer.send("0\r\n\r\n") == nil
}

// pieces returns the chunks of an event: one, or two cut anywhere if the format says so.
func (answer *answer) pieces(event string) string {
	if answer.upstream.options.Format.Comments && answer.upstream.percent(30) {
		event += commentText(answer.upstream.options.Format.LineEnd)
	}
	if !answer.upstream.options.Format.Split {
		return answer.chunk(event)
	}
	cut := 1 + answer.upstream.number(len(event)-1)
	return answer.chunk(event[:cut]) + answer.chunk(event[cut:])
}

// breakOff ends the connection in the middle of the stream: inside the event by a close, or
// after the text by a reset.
func (answer *answer) breakOff(text, event string, inside bool) bool {
	if inside {
		part := event[:1+answer.upstream.number(len(event)-1)]
		if answer.upstream.percent(50) && !answer.unframed() {
			// Part of a chunk, whose length says that more comes.
			text += fmt.Sprintf("%x\r\n%s", len(event), part)
		} else {
			text += answer.chunk(part)
		}
	}
	_ = answer.send(text)
	if !inside {
		answer.linger(0)
	}
	return false
}

// linger sets for how long a close waits: at 0 it resets the connection.
func (answer *answer) linger(seconds int) {
	if conn, ok := answer.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(seconds)
	}
}

// parseContent decodes the body of a caller's request.
func parseContent(body []byte) (content, error) {
	var parsed content
	if err := json.Unmarshal(body, &parsed); err != nil {
		return parsed, errors.Wrap(err, "decode the body of a request")
	}
	return parsed, nil
}
