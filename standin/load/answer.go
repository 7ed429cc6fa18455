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

// errorBody is the JSON body of a refusal, and the data of an error event.
type errorBody struct {
	Error struct {
		Code    core.RefusalCode `json:"code"`
		Outcome string           `json:"outcome"`
		Message string           `json:"message"`
	} `json:"error"`
}

// buildRequest returns the HTTP request for the planned request to the target.
func (generator *Generator) buildRequest(ctx context.Context, planned *plannedRequest, target string) (*http.Request, error) {
	path, body := "/v1/chat/completions", []byte(callBody)
	if planned.kind == Call {
		path = "/v1/services/" + string(generator.settings.Service) + "/charge"
	} else {
		model := string(planned.av.Adapter)
		if planned.pinned {
			model = planned.av.String()
		}
		content := strings.TrimSuffix(strings.TrimPrefix(planned.prompt.Text, "user: "), "\n")
		var err error
		body, err = json.Marshal(map[string]any{
			"model": model, "stream": planned.kind == Stream, "max_tokens": planned.prompt.Tokens,
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
	// Without GetBody, net/http cannot resend the request; resends are made and
	// counted by sendWithResends only.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+generator.settings.Key)
	if planned.key != "" {
		request.Header.Set("Idempotency-Key", string(planned.key))
	}
	return request, nil
}

// sendOnce sends the request once to record.VM and stores the result in the record.
func (generator *Generator) sendOnce(ctx context.Context, planned *plannedRequest, record *Record) {
	ctx, cancel := context.WithTimeout(ctx, generator.settings.Timeout)
	defer cancel()
	record.Code, record.Outcome, record.Detail, record.Status, record.FirstByte = "", "", "", 0, 0
	request, err := generator.buildRequest(ctx, planned, record.VM)
	if err != nil {
		record.Result, record.Detail = Lost, err.Error()
		return
	}
	response, err := generator.client.Do(request)
	if err != nil {
		generator.balancer.setReady(record.VM, false)
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
	case response.StatusCode != http.StatusOK && planned.kind != Call:
		readProblem(content, record)
	case planned.kind == Call:
		generator.readCall(content, record)
	case planned.kind == Stream:
		checkHeaders(header, planned, record)
		readStream(content, planned, record)
	default:
		checkHeaders(header, planned, record)
		readWhole(content, planned, record)
	}
}

func (record *Record) addFault(text string) {
	record.Faults = append(record.Faults, text)
}

func checkHeaders(header http.Header, planned *plannedRequest, record *Record) {
	adapter, version := header.Get("Dandelionring-Adapter"), header.Get("Dandelionring-Version")
	if adapter != string(planned.av.Adapter) || version != string(planned.av.Version) {
		record.addFault("answered by " + adapter + "@" + version)
	}
}

func readProblem(content io.Reader, record *Record) {
	text, err := io.ReadAll(content)
	if err != nil {
		record.Result, record.Detail = Lost, err.Error()
		return
	}
	record.parseRefusal(text)
}

// parseRefusal stores the error object in the record. A refusal without a valid
// error object is a fault.
func (record *Record) parseRefusal(text []byte) {
	var refusal errorBody
	record.Result = Refused
	if err := json.Unmarshal(text, &refusal); err != nil {
		record.addFault("refusal without an error object: " + string(text))
		return
	}
	record.Code, record.Outcome, record.Detail = refusal.Error.Code, refusal.Error.Outcome, refusal.Error.Message
	if _, ok := core.ParseOutcome(record.Outcome); !ok {
		record.addFault("refusal without an outcome")
	}
}

func (generator *Generator) readCall(content io.Reader, record *Record) {
	text, err := io.ReadAll(content)
	if err != nil {
		record.Result, record.Detail = Lost, err.Error()
		return
	}
	var answer service.Answer
	if json.Unmarshal(text, &answer) != nil || answer.Service == "" {
		record.parseRefusal(text)
		return
	}
	record.Result = Answered
	if record.Status != http.StatusOK {
		record.Result = Failed
	}
	if answer.Key != record.Key || answer.Service != generator.settings.Service || answer.Body != callBody {
		record.addFault("answer to another call: " + string(text))
	}
}

func readWhole(content io.Reader, planned *plannedRequest, record *Record) {
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
		record.addFault("not an answer: " + string(text))
		return
	}
	compareAnswer(answer.Choices[0].Message.Content, true, planned, record)
}

// compareAnswer compares the text with the answers of the engines' software versions,
// recomputed. It must be one of them or, if whole is false, as for a broken stream, a prefix of
// one.
func compareAnswer(text string, whole bool, planned *plannedRequest, record *Record) {
	var answers []string
	for _, software := range planned.software {
		want := engine.Answer(planned.av, software, planned.prompt)
		if text == want || !whole && strings.HasPrefix(want, text) {
			return
		}
		answers = append(answers, want)
	}
	fault := "wrong part of an answer: "
	if whole {
		fault = "wrong answer: "
	}
	record.addFault(fault + text + " instead of " + strings.Join(answers, " or "))
}

func readStream(body io.Reader, planned *plannedRequest, record *Record) {
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
			record.parseRefusal([]byte(value))
			record.Result = Broken
			compareAnswer(text.String(), false, planned, record)
			return
		case name == "data" && value == "[DONE]":
			record.Result = Answered
			compareAnswer(text.String(), true, planned, record)
			return
		case name == "data":
			text.WriteString(eventText(value, record))
		}
		if err != nil {
			record.Result, record.Detail = Lost, err.Error()
			compareAnswer(text.String(), false, planned, record)
			if errors.Is(err, io.EOF) {
				record.addFault("a stream ended without its end marker and without an error")
			}
			return
		}
	}
}

// eventText returns the text of one event of a stream, or records a fault and
// returns an empty string if the event is invalid.
func eventText(value string, record *Record) string {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(value), &event) != nil || len(event.Choices) != 1 {
		record.addFault("not an event of a stream: " + value)
		return ""
	}
	return event.Choices[0].Delta.Content
}
