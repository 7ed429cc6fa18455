package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/engine"
	"github.com/dandelionring/dandelionring/standin/service"
)

// callBody is the body of every service call.
const callBody = `{"Charge":1}`

// problem is the error object of the callers' interface.
type problem struct {
	Error struct {
		Code    core.RefusalCode `json:"code"`
		Outcome string           `json:"outcome"`
		Message string           `json:"message"`
	} `json:"error"`
}

// build returns the HTTP request.
func (load *Load) build(ctx context.Context, next *plan, target string) (*http.Request, error) {
	path, body := "/v1/chat/completions", []byte(callBody)
	if next.kind == Call {
		path = "/v1/services/" + string(load.settings.Service) + "/charge"
	} else {
		model := string(next.av.Adapter)
		if next.pinned {
			model = next.av.String()
		}
		content := strings.TrimSuffix(strings.TrimPrefix(next.prompt.Text, "user: "), "\n")
		var err error
		body, err = json.Marshal(map[string]any{
			"model": model, "stream": next.kind == Stream, "max_tokens": next.prompt.Tokens,
			"messages": []any{map[string]string{"role": "user", "content": content}},
		})
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// The caller decides itself what it sends again.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+load.settings.Key)
	if next.key != "" {
		request.Header.Set("Idempotency-Key", string(next.key))
	}
	return request, nil
}

// once sends the request one time and fills in the record.
func (load *Load) once(ctx context.Context, next *plan, record *Record) {
	ctx, cancel := context.WithTimeout(ctx, load.settings.Timeout)
	defer cancel()
	record.Code, record.Outcome, record.Detail, record.Status, record.FirstByte = "", "", "", 0, 0
	request, err := load.build(ctx, next, record.VM)
	if err != nil {
		record.Result, record.Detail = Lost, err.Error()
		return
	}
	response, err := load.client.Do(request)
	if err != nil {
		load.balancer.mark(record.VM, false)
		record.Result, record.Detail = Lost, err.Error()
		return
	}
	defer response.Body.Close()
	header := response.Header
	record.Status = response.StatusCode
	record.Request, record.Attempt = header.Get("Dandelionring-Request"), header.Get("Dandelionring-Attempt")
	record.Config, record.Replayed = header.Get("Dandelionring-Config"), header.Get("Dandelionring-Replayed") == "true"
	content := bufio.NewReader(response.Body)
	if _, err := content.Peek(1); err == nil {
		record.FirstByte = time.Now().UnixMicro()
	}
	switch {
	case response.StatusCode != http.StatusOK && next.kind != Call:
		readProblem(content, record)
	case next.kind == Call:
		load.readCall(content, record)
	case next.kind == Stream:
		checkHeaders(header, next, record)
		readStream(content, next, record)
	default:
		checkHeaders(header, next, record)
		readWhole(content, next, record)
	}
}

func (record *Record) fault(text string) {
	record.Faults = append(record.Faults, text)
}

func checkHeaders(header http.Header, next *plan, record *Record) {
	adapter, version := header.Get("Dandelionring-Adapter"), header.Get("Dandelionring-Version")
	if adapter != string(next.av.Adapter) || version != string(next.av.Version) {
		record.fault("answered by " + adapter + "@" + version)
	}
}

func readProblem(content io.Reader, record *Record) {
	text, err := io.ReadAll(content)
	if err != nil {
		record.Result, record.Detail = Lost, err.Error()
		return
	}
	record.refuse(text)
}

// refuse fills in the error object. A refusal without a valid one is a fault.
func (record *Record) refuse(text []byte) {
	var refusal problem
	record.Result = Refused
	if err := json.Unmarshal(text, &refusal); err != nil {
		record.fault("refusal without an error object: " + string(text))
		return
	}
	record.Code, record.Outcome, record.Detail = refusal.Error.Code, refusal.Error.Outcome, refusal.Error.Message
	if _, ok := core.ParseOutcome(record.Outcome); !ok {
		record.fault("refusal without an outcome")
	}
}

func (load *Load) readCall(content io.Reader, record *Record) {
	text, err := io.ReadAll(content)
	if err != nil {
		record.Result, record.Detail = Lost, err.Error()
		return
	}
	var answer service.Answer
	if json.Unmarshal(text, &answer) != nil || answer.Service == "" {
		record.refuse(text)
		return
	}
	record.Result = Answered
	if record.Status != http.StatusOK {
		record.Result = Failed
	}
	if answer.Key != record.Key || answer.Service != load.settings.Service || answer.Body != callBody {
		record.fault("answer to another call: " + string(text))
	}
}

func readWhole(content io.Reader, next *plan, record *Record) {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	text, err := io.ReadAll(content)
	if err != nil {
		record.Result, record.Detail = Lost, err.Error()
		return
	}
	record.Result = Answered
	if err := json.Unmarshal(text, &answer); err != nil || len(answer.Choices) != 1 {
		record.fault("not an answer: " + string(text))
		return
	}
	compare(answer.Choices[0].Message.Content, true, next, record)
}

// compare checks the text against the recomputed answer, of which a broken
// stream must hold a prefix.
func compare(text string, whole bool, next *plan, record *Record) {
	want := engine.Answer(next.av, next.prompt)
	if whole && text != want {
		record.fault("wrong answer: " + text + " instead of " + want)
	}
	if !whole && !strings.HasPrefix(want, text) {
		record.fault("wrong part of an answer: " + text + " instead of " + want)
	}
}

func readStream(body io.Reader, next *plan, record *Record) {
	content := bufio.NewReader(body)
	var text strings.Builder
	var event string
	for {
		line, err := content.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event == "error":
			record.refuse([]byte(value))
			record.Result = Broken
			compare(text.String(), false, next, record)
			return
		case name == "data" && value == "[DONE]":
			record.Result = Answered
			compare(text.String(), true, next, record)
			return
		case name == "data":
			text.WriteString(delta(value, record))
		}
		if err != nil {
			record.Result, record.Detail = Lost, err.Error()
			compare(text.String(), false, next, record)
			if errors.Is(err, io.EOF) {
				record.fault("a stream ended without its end marker and without an error")
			}
			return
		}
	}
}

// delta returns the text of one event.
func delta(value string, record *Record) string {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(value), &event) != nil || len(event.Choices) != 1 {
		record.fault("not an event of a stream: " + value)
		return ""
	}
	return event.Choices[0].Delta.Content
}
