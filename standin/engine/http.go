package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// maxBodyBytes is the maximum length of the body of a request.
const maxBodyBytes = 16 << 20

// order is the body of a load or evict order.
type order struct {
	Adapter core.AdapterID
	Version core.Version
	Token   core.FencingToken
}

// Handler returns the HTTP interface of the engine.
func (engine *Engine) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/adapters/load", engine.serveOrder(func(request *http.Request, av core.AdapterVersion, token core.FencingToken) error {
		return engine.Load(request.Context(), av, token)
	}))
	router.Post("/v1/adapters/evict", engine.serveOrder(func(_ *http.Request, av core.AdapterVersion, token core.FencingToken) error {
		return engine.Evict(av, token)
	}))
	router.Post("/v1/chat/completions", engine.serveRun)
	router.Post("/v1/completions", engine.serveRun)
	router.Delete("/v1/attempts/{attempt}", engine.serveCancel)
	router.Get("/v1/status", engine.serveStatus)
	router.Get("/v1/standin/counts", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, engine.Counts())
	})
	router.Post("/v1/standin/fail", engine.serveFail)
	return router
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(writer).Encode(body)
}

func (engine *Engine) serveFail(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		writeJSON(writer, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return
	}
	engine.SetFaults(faults)
	writeJSON(writer, http.StatusOK, faults)
}

func (engine *Engine) serveOrder(run func(*http.Request, core.AdapterVersion, core.FencingToken) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var order order
		if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes)).Decode(&order); err != nil {
			writeJSON(writer, http.StatusBadRequest, map[string]string{"Error": err.Error()})
			return
		}
		err := run(request, core.AdapterVersion{Adapter: order.Adapter, Version: order.Version}, order.Token)
		switch {
		case err == nil:
			writeJSON(writer, http.StatusOK, map[string]any{"Adapter": order.Adapter, "Version": order.Version, "Incarnation": engine.incarnation})
		case errors.Is(err, errFenced):
			engine.replyFenced(writer)
		case errors.Is(err, errNoSlot):
			writeJSON(writer, http.StatusInsufficientStorage, map[string]string{"Error": err.Error()})
		default:
			writeJSON(writer, http.StatusBadGateway, map[string]string{"Error": err.Error()})
		}
	}
}

func (engine *Engine) replyFenced(writer http.ResponseWriter) {
	engine.mu.Lock()
	last := engine.lastToken
	engine.mu.Unlock()
	writeJSON(writer, http.StatusConflict, map[string]any{"Error": "fenced", "LastToken": last})
}

func (engine *Engine) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	engine.mu.Lock()
	running := []core.AttemptID{}
	for id := range engine.attempts {
		running = append(running, id)
	}
	residents := engine.residents()
	engine.mu.Unlock()
	writeJSON(writer, http.StatusOK, map[string]any{"Upstream": engine.settings.Upstream, "Incarnation": engine.incarnation, "Resident": residents, "Running": running})
}

func (engine *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	engine.mu.Lock()
	current, ok := engine.attempts[core.AttemptID(chi.URLParam(request, "attempt"))]
	if ok {
		engine.counts.Cancelled++
		engine.finish(current, "cancelled")
	}
	engine.mu.Unlock()
	writeJSON(writer, http.StatusOK, map[string]bool{"Found": ok})
}

// parseRun returns the attempt and the fencing token from the headers and the body of
// the request, or an error if they are invalid.
func parseRun(request *http.Request) (*attempt, core.FencingToken, error) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return nil, 0, errors.Wrap(err, "read body")
	}
	prompt, err := ParsePrompt(body)
	if err != nil {
		return nil, 0, err
	}
	number := func(name string) int64 {
		value, parseErr := strconv.ParseInt(request.Header.Get(name), 10, 64)
		if parseErr != nil && request.Header.Get(name) != "" {
			err = errors.Wrapf(parseErr, "header %s", name)
		}
		return value
	}
	next := &attempt{
		id: core.AttemptID(request.Header.Get("X-Attempt")),
		av: core.AdapterVersion{
			Adapter: core.AdapterID(request.Header.Get("X-Adapter")),
			Version: core.Version(request.Header.Get("X-Version")),
		},
		prompt: prompt, priority: core.Priority(number("X-Priority")),
		offset: core.Tokens(number("X-Resume-Offset")), ended: make(chan struct{}),
	}
	token := core.FencingToken(number("X-Fencing-Token"))
	if err == nil && (next.offset < 0 || next.id == "") {
		err = errors.New("no attempt or a negative offset")
	}
	next.tokens = make(chan string, max(0, prompt.Tokens-next.offset))
	return next, token, err
}

func (engine *Engine) serveRun(writer http.ResponseWriter, request *http.Request) {
	next, token, err := parseRun(request)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return
	}
	switch status := engine.accept(next, token); status {
	case http.StatusOK:
		engine.stream(writer, request, next)
	case http.StatusConflict:
		engine.replyFenced(writer)
	case http.StatusNotFound:
		writeJSON(writer, status, map[string]string{"Error": "not resident"})
	default:
		writeJSON(writer, status, map[string]string{"Error": "the engine does not resume streams"})
	}
}

// accept enqueues the attempt and returns status 200, or returns the status of the
// refusal.
func (engine *Engine) accept(next *attempt, token core.FencingToken) int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	violations := &engine.counts.Violations
	if engine.checkToken(token, "run", next.id, next.av) != nil {
		return http.StatusConflict
	}
	if next.offset > 0 && !engine.settings.Resumes {
		return http.StatusServiceUnavailable
	}
	if adapterSlot, ok := engine.slots[next.av]; !ok || !adapterSlot.resident {
		if time.Since(engine.started) > lease {
			engine.recordViolation(&violations.NotResident, "not resident", next.id, next.av)
		}
		return http.StatusNotFound
	}
	if !engine.leavingSince.IsZero() && time.Since(engine.leavingSince) > lease {
		engine.recordViolation(&violations.WorkWhileLeaving, "work while leaving", next.id, next.av)
	}
	if engine.seenAttempts[next.id] {
		engine.recordViolation(&violations.RepeatedAttempts, "repeated attempt", next.id, next.av)
	}
	engine.enqueue(next)
	return http.StatusOK
}

// stream writes one event per token. If the client disconnects, the attempt continues
// until it ends or is cancelled, as in an engine that does not monitor connections.
func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, current *attempt) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Attempt", string(current.id))
	header.Set("X-Engine", string(engine.settings.Upstream))
	header.Set("X-Incarnation", string(engine.incarnation))
	header.Set("X-Software", string(engine.settings.Software))
	header.Set("X-Adapter", string(current.av.Adapter))
	header.Set("X-Version", string(current.av.Version))
	writer.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(writer)
	chat := strings.HasPrefix(request.URL.Path, "/v1/chat")
	if flusher.Flush() != nil {
		return
	}
	for token := range current.tokens {
		fmt.Fprintf(writer, "data: %s\n\n", eventJSON(current, token, chat))
		if flusher.Flush() != nil {
			return
		}
	}
	if !current.complete {
		// Closing the connection without the end marker tells the client that the
		// answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(writer, "data: [DONE]\n\n")
}

// eventJSON returns the event data of one token in the format of the OpenAI chat
// completion API, or of its completion API if chat is false.
func eventJSON(current *attempt, token string, chat bool) []byte {
	choice := map[string]any{"index": 0, "text": token}
	object := "text_completion"
	if chat {
		choice = map[string]any{"index": 0, "delta": map[string]string{"content": token}}
		object = "chat.completion.chunk"
	}
	content, err := json.Marshal(map[string]any{
		"id": current.id, "object": object, "model": current.av.String(), "choices": []any{choice},
	})
	if err != nil {
		panic(err)
	}
	return content
}
