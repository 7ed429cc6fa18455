package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// setAnswerHeaders sets the Dandelionring headers that describe an answer.
func setAnswerHeaders(header http.Header, answer entry.Answer) {
	header.Set("Dandelionring-Request", string(answer.Request))
	header.Set("Dandelionring-Attempt", string(answer.Attempt))
	header.Set("Dandelionring-Config", strconv.FormatUint(uint64(answer.Config), 10))
	if answer.Pin.Adapter != "" {
		header.Set("Dandelionring-Adapter", string(answer.Pin.Adapter))
		header.Set("Dandelionring-Version", string(answer.Pin.Version))
	}
	if answer.ConfigAge > 0 {
		header.Set("Dandelionring-Config-Age", strconv.Itoa(int(answer.ConfigAge.Seconds())))
	}
	if answer.Replayed {
		header.Set("Dandelionring-Replayed", "true")
	}
}

// streamResponder passes server-sent events on as they arrive.
type streamResponder struct {
	writer      http.ResponseWriter
	headWritten bool
}

// Head writes the status and the headers of the event stream.
func (responder *streamResponder) Head(answer entry.Answer) error {
	setAnswerHeaders(responder.writer.Header(), answer)
	responder.writer.Header().Set("Content-Type", "text/event-stream")
	responder.writer.WriteHeader(http.StatusOK)
	responder.headWritten = true
	return nil
}

// Data writes complete events and flushes them.
func (responder *streamResponder) Data(data []byte) error {
	if _, err := responder.writer.Write(data); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if err := http.NewResponseController(responder.writer).Flush(); err != nil {
		return errors.Wrap(err, "flush to caller")
	}
	return nil
}

// finish writes the end marker of a complete answer. Otherwise it writes an error
// response, or an error event if the head was written.
func (responder *streamResponder) finish(end core.End) {
	switch {
	case end.Whole:
		_ = responder.Data([]byte("data: [DONE]\n\n"))
	case !responder.headWritten:
		writeError(responder.writer, end)
	default:
		body, err := json.Marshal(newErrorBody(end))
		if err == nil {
			_ = responder.Data([]byte("event: error\ndata: " + string(body) + "\n\n"))
		}
	}
}

// bufferedResponder collects the events of an answer and writes one JSON object at the
// end, so that a caller that did not request a stream never gets a partial answer.
type bufferedResponder struct {
	writer       http.ResponseWriter
	chat         bool
	model        string
	answer       entry.Answer
	text         bytes.Buffer
	finishReason string
	tokens       int
}

// streamEvent holds the fields of a completion chunk that are collected.
type streamEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// Head stores the head until the answer is complete.
func (responder *bufferedResponder) Head(answer entry.Answer) error {
	responder.answer = answer
	return nil
}

// Restart discards the collected events before the answer is sent again from its start.
func (responder *bufferedResponder) Restart() {
	responder.text.Reset()
	responder.finishReason, responder.tokens = "", 0
}

// Data collects the text of complete events. It decodes them together as one JSON array,
// since setting up a decoder costs more than decoding one event.
func (responder *bufferedResponder) Data(data []byte) error {
	array := make([]byte, 0, len(data)+1)
	for event := range bytes.SplitSeq(data, []byte("\n\n")) {
		// The data of one event may have several lines.
		separator := byte(',')
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			payload, ok := bytes.CutPrefix(line, []byte("data: "))
			if !ok {
				continue
			}
			array = append(append(array, separator), payload...)
			separator = '\n'
		}
	}
	if len(array) == 0 {
		return nil
	}
	array[0] = '['
	var events []streamEvent
	if err := json.Unmarshal(append(array, ']'), &events); err != nil {
		return errors.Wrap(err, "decode events of the upstream")
	}
	for _, event := range events {
		responder.appendEvent(event)
	}
	return nil
}

// appendEvent appends the text of one event, which counts as one token.
func (responder *bufferedResponder) appendEvent(event streamEvent) {
	for _, choice := range event.Choices {
		responder.text.WriteString(choice.Text)
		responder.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			responder.finishReason = choice.FinishReason
		}
	}
	responder.tokens++
}

// completionResponse is the JSON body of an answer that is not streamed.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   usage            `json:"usage"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Text         string           `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// finish writes the collected answer if it is complete, and an error response otherwise.
func (responder *bufferedResponder) finish(end core.End) {
	setAnswerHeaders(responder.writer.Header(), responder.answer)
	if !end.Whole {
		writeError(responder.writer, end)
		return
	}
	choice := responseChoice{FinishReason: responder.finishReason}
	answer := completionResponse{ID: string(responder.answer.Request), Object: "text_completion", Model: responder.answer.Pin.String(), Usage: usage{responder.tokens}}
	if responder.chat {
		answer.Object = "chat.completion"
		choice.Message = &responseMessage{Role: "assistant", Content: responder.text.String()}
	} else {
		choice.Text = responder.text.String()
	}
	if choice.FinishReason == "" {
		choice.FinishReason = "stop"
	}
	answer.Choices = []responseChoice{choice}
	responder.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(responder.writer).Encode(answer)
}

// serviceResponder passes on the answer of a plain service. If the answer breaks off, the
// connection is closed, since a service's answer has no place for an error.
type serviceResponder struct {
	writer      http.ResponseWriter
	headWritten bool
}

// Head writes the service's status and headers.
func (responder *serviceResponder) Head(answer entry.Answer) error {
	for _, header := range answer.Head.Headers {
		responder.writer.Header().Add(header.Name, header.Value)
	}
	setAnswerHeaders(responder.writer.Header(), answer)
	responder.writer.WriteHeader(answer.Head.Status)
	responder.headWritten = true
	return nil
}

// Data writes the bytes unchanged.
func (responder *serviceResponder) Data(data []byte) error {
	if _, err := responder.writer.Write(data); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return nil
}

// finish writes an error response if the head was not written, and otherwise panics with
// http.ErrAbortHandler to close the connection of an incomplete answer.
func (responder *serviceResponder) finish(end core.End) {
	if end.Whole {
		return
	}
	if !responder.headWritten {
		writeError(responder.writer, end)
		return
	}
	panic(http.ErrAbortHandler)
}
