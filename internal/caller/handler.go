package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// requestServer runs requests and returns how they ended.
type requestServer interface {
	Serve(ctx context.Context, request entry.Request, responder entry.Responder) core.End
}

// readinessReporter reports whether this VM accepts new requests.
type readinessReporter interface {
	Ready() bool
}

// maxIdempotencyKey is the maximum length of an idempotency key in bytes.
const maxIdempotencyKey = 256

// Handler serves the HTTP interface for callers of one VM.
type Handler struct {
	server    requestServer
	readiness readinessReporter
	maxBody   core.Bytes
	bodies    *guard.Bodies
	page      telemetry.Page
}

// New returns a handler that refuses request bodies larger than maxBody, and those for which
// bodies has no room.
func New(server requestServer, readiness readinessReporter, maxBody core.Bytes, bodies *guard.Bodies) *Handler {
	return &Handler{server: server, readiness: readiness, maxBody: maxBody, bodies: bodies}
}

// Router returns the routes for callers, for the platform's load balancer and for
// metrics.
func (handler *Handler) Router() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", handler.serveCompletion)
	router.Post("/v1/completions", handler.serveCompletion)
	router.HandleFunc("/v1/services/{service}/*", handler.serveService)
	router.Get("/ready", handler.serveReady)
	router.Get("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	router.Get("/metrics", handler.page.ServeHTTP)
	router.NotFound(func(writer http.ResponseWriter, request *http.Request) {
		writeRefusal(writer, core.NewRefusal(core.CodeBadRequest, "no such path: "+request.URL.Path))
	})
	return router
}

func (handler *Handler) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !handler.readiness.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (handler *Handler) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	body, free, refusal := handler.readBody(writer, request)
	if refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	defer free()
	completion, refusal := parseCompletion(body)
	if refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	call := entry.Request{
		Key:      bearerKeyHash(request),
		Wanted:   completion.adapter,
		Method:   http.MethodPost,
		Path:     request.URL.Path,
		Body:     body,
		Stream:   completion.Stream,
		Prefixes: completion.prefixHashes(),
	}
	if completion.Stream {
		responder := &streamResponder{writer: writer}
		responder.finish(handler.server.Serve(request.Context(), call, responder))
		return
	}
	responder := &bufferedResponder{writer: writer, chat: strings.HasSuffix(request.URL.Path, "/chat/completions"), model: completion.Model}
	responder.finish(handler.server.Serve(request.Context(), call, responder))
}

func (handler *Handler) serveService(writer http.ResponseWriter, request *http.Request) {
	key := request.Header.Get("Idempotency-Key")
	if _, present := request.Header["Idempotency-Key"]; present && !validIdempotencyKey(key) {
		writeRefusal(writer, core.NewRefusal(core.CodeBadRequest, "the Idempotency-Key is not 1 to 256 printable ASCII characters"))
		return
	}
	body, free, refusal := handler.readBody(writer, request)
	if refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	defer free()
	name := chi.URLParam(request, "service")
	responder := &serviceResponder{writer: writer}
	responder.finish(handler.server.Serve(request.Context(), entry.Request{
		Key:            bearerKeyHash(request),
		Service:        core.ServiceID(name),
		Method:         request.Method,
		Path:           strings.TrimPrefix(request.URL.EscapedPath(), "/v1/services/"+name),
		Query:          request.URL.RawQuery,
		Headers:        upstream.EndToEndHeaders(request.Header, "Authorization", "Idempotency-Key", "Content-Length", "Accept-Encoding"),
		Body:           body,
		IdempotencyKey: core.IdempotencyKey(key),
	}, responder))
}

// readBody reads the whole body and returns a function that frees its memory. It returns a refusal
// with core.CodeBodyTooLarge if the body exceeds the limit, with core.CodeOverloaded if there is no
// memory for it, and with core.CodeBadRequest if it cannot be read, for example because it is
// shorter than its Content-Length or does not arrive in time.
func (handler *Handler) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, func(), *core.Refusal) {
	body, free, err := handler.bodies.Read(writer, request, handler.maxBody)
	var tooLarge *h1.BoundError
	switch {
	case err == nil:
		return body, free, nil
	case errors.As(err, &tooLarge):
		return nil, nil, core.NewRefusal(core.CodeBodyTooLarge, "the body is over the limit")
	case errors.Is(err, h1.ErrMemory):
		return nil, nil, core.NewRefusal(core.CodeOverloaded, err.Error())
	}
	if cause := errors.Unwrap(err); cause != nil {
		err = cause // without the words that the message begins with
	}
	return nil, nil, core.NewRefusal(core.CodeBadRequest, "the body could not be read: "+err.Error())
}

// bearerKeyHash returns the hexadecimal SHA-256 of the API key in the Authorization
// header, or the empty string if there is none.
func bearerKeyHash(request *http.Request) core.KeyHash {
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return ""
	}
	hash := sha256.Sum256([]byte(key))
	return core.KeyHash(hex.EncodeToString(hash[:]))
}

// validIdempotencyKey reports whether a key consists of 1 to maxIdempotencyKey printable
// ASCII characters.
func validIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKey {
		return false
	}
	for _, char := range []byte(key) {
		if char < 0x20 || char > 0x7e {
			return false
		}
	}
	return true
}
