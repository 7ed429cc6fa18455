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

func setHeaders(header http.Header, answer entry.Answer) {
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

// streamResponder passes server-sent events on as they come.
type streamResponder struct {
	writer  http.ResponseWriter
	started bool
}

// Head writes the head of the answer.
func (stream *streamResponder) Head(answer entry.Answer) error {
	setHeaders(stream.writer.Header(), answer)
	stream.writer.Header().Set("Content-Type", "text/event-stream")
	stream.writer.WriteHeader(http.StatusOK)
	stream.started = true
	return nil
}

// Data writes whole events and flushes them.
func (stream *streamResponder) Data(data []byte) error {
	if _, err := stream.writer.Write(data); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if err := http.NewResponseController(stream.writer).Flush(); err != nil {
		return errors.Wrap(err, "flush to caller")
	}
	return nil
}

func (stream *streamResponder) finish(end core.End) {
	switch {
	case end.Whole:
		_ = stream.Data([]byte("data: [DONE]\n\n"))
	case !stream.started:
		writeEnd(stream.writer, end)
	default:
		body, err := json.Marshal(errorOf(end))
		if err == nil {
			_ = stream.Data([]byte("event: error\ndata: " + string(body) + "\n\n"))
		}
	}
}

// wholeResponder collects the events of an answer and writes one object at the end, so
// that a caller who did not ask for a stream never gets half an answer.
type wholeResponder struct {
	writer http.ResponseWriter
	chat   bool
	model  string
	answer entry.Answer
	text   bytes.Buffer
	reason string
	tokens int
}

type event struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// Head keeps the head until the answer is whole.
func (whole *wholeResponder) Head(answer entry.Answer) error {
	whole.answer = answer
	return nil
}

// Restart drops what was collected, for an answer that begins anew.
func (whole *wholeResponder) Restart() {
	whole.text.Reset()
	whole.reason, whole.tokens = "", 0
}

// Data collects the text of whole events. They are decoded together, as one array,
// since the decoder's own state costs more than an event.
func (whole *wholeResponder) Data(data []byte) error {
	array := make([]byte, 0, len(data)+1)
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		payload, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		array = append(append(array, ','), payload...)
	}
	if len(array) == 0 {
		return nil
	}
	array[0] = '['
	var events []event
	if err := json.Unmarshal(append(array, ']'), &events); err != nil {
		return errors.Wrap(err, "decode events of the upstream")
	}
	for _, event := range events {
		whole.collect(event)
	}
	return nil
}

func (whole *wholeResponder) collect(event event) {
	for _, choice := range event.Choices {
		whole.text.WriteString(choice.Text)
		whole.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			whole.reason = choice.FinishReason
		}
	}
	whole.tokens++
}

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         string        `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (whole *wholeResponder) finish(end core.End) {
	setHeaders(whole.writer.Header(), whole.answer)
	if !end.Whole {
		writeEnd(whole.writer, end)
		return
	}
	choice := wholeChoice{FinishReason: whole.reason}
	answer := wholeAnswer{ID: string(whole.answer.Request), Object: "text_completion", Model: whole.answer.Pin.String(), Usage: usage{whole.tokens}}
	if whole.chat {
		answer.Object = "chat.completion"
		choice.Message = &wholeMessage{Role: "assistant", Content: whole.text.String()}
	} else {
		choice.Text = whole.text.String()
	}
	if choice.FinishReason == "" {
		choice.FinishReason = "stop"
	}
	answer.Choices = []wholeChoice{choice}
	whole.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(whole.writer).Encode(answer)
}

// rawResponder passes the answer of a plain service on. A broken answer is cut off by
// closing the connection, since a service's answer has no place for an error.
type rawResponder struct {
	writer  http.ResponseWriter
	started bool
}

// Head writes the status and the headers of the service.
func (raw *rawResponder) Head(answer entry.Answer) error {
	for _, header := range answer.Head.Headers {
		raw.writer.Header().Add(header.Name, header.Value)
	}
	setHeaders(raw.writer.Header(), answer)
	raw.writer.WriteHeader(answer.Head.Status)
	raw.started = true
	return nil
}

// Data writes bytes as they came.
func (raw *rawResponder) Data(data []byte) error {
	if _, err := raw.writer.Write(data); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return nil
}

func (raw *rawResponder) finish(end core.End) {
	if end.Whole {
		return
	}
	if !raw.started {
		writeEnd(raw.writer, end)
		return
	}
	panic(http.ErrAbortHandler)
}
