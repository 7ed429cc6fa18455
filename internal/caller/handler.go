package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/entry"
	"github.com/dandelionring/dandelionring/internal/upstream"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// server runs the requests.
type server interface {
	Serve(ctx context.Context, request entry.Request, responder entry.Responder) core.End
}

// readiness tells the platform whether this VM takes new requests.
type readiness interface {
	Ready() bool
}

// maxKey is the length of the longest idempotency key.
const maxKey = 256

// Handler is the callers' interface of one VM.
type Handler struct {
	server    server
	readiness readiness
	maxBody   core.Bytes
}

// New returns a handler that refuses bodies over maxBody.
func New(server server, readiness readiness, maxBody core.Bytes) *Handler {
	return &Handler{server: server, readiness: readiness, maxBody: maxBody}
}

// Router returns the routes of the callers and of the platform's balancer.
func (handler *Handler) Router() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", handler.model)
	router.Post("/v1/completions", handler.model)
	router.HandleFunc("/v1/services/{service}/*", handler.service)
	router.Get("/ready", handler.ready)
	router.Get("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	router.Get("/metrics", func(writer http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(writer, true) })
	router.NotFound(func(writer http.ResponseWriter, request *http.Request) {
		writeRefusal(writer, core.Refuse(core.CodeBadRequest, "no such path: "+request.URL.Path))
	})
	return router
}

func (handler *Handler) ready(writer http.ResponseWriter, _ *http.Request) {
	if !handler.readiness.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (handler *Handler) model(writer http.ResponseWriter, request *http.Request) {
	body, refusal := handler.body(writer, request)
	if refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	completion, refusal := parseCompletion(body)
	if refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	wanted := entry.Request{
		Key:      bearer(request),
		Wanted:   completion.wanted,
		Method:   http.MethodPost,
		Path:     request.URL.Path,
		Body:     body,
		Stream:   completion.Stream,
		Prefixes: completion.prefixes(),
	}
	if completion.Stream {
		stream := &streamResponder{writer: writer}
		stream.finish(handler.server.Serve(request.Context(), wanted, stream))
		return
	}
	whole := &wholeResponder{writer: writer, chat: strings.HasSuffix(request.URL.Path, "/chat/completions"), model: completion.Model}
	whole.finish(handler.server.Serve(request.Context(), wanted, whole))
}

func (handler *Handler) service(writer http.ResponseWriter, request *http.Request) {
	key := request.Header.Get("Idempotency-Key")
	if !validKey(key) {
		writeRefusal(writer, core.Refuse(core.CodeBadRequest, "the Idempotency-Key is not 1 to 256 printable ASCII characters"))
		return
	}
	body, refusal := handler.body(writer, request)
	if refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	name := chi.URLParam(request, "service")
	raw := &rawResponder{writer: writer}
	raw.finish(handler.server.Serve(request.Context(), entry.Request{
		Key:            bearer(request),
		Service:        core.ServiceID(name),
		Method:         request.Method,
		Path:           strings.TrimPrefix(request.URL.Path, "/v1/services/"+name),
		Query:          request.URL.RawQuery,
		Headers:        upstream.PassedOn(request.Header, "Authorization", "Idempotency-Key", "Content-Length", "Accept-Encoding"),
		Body:           body,
		IdempotencyKey: core.IdempotencyKey(key),
	}, raw))
}

// body reads the whole body. A length that lies about the body is a bad request.
func (handler *Handler) body(writer http.ResponseWriter, request *http.Request) ([]byte, *core.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(handler.maxBody)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, core.Refuse(core.CodeBodyTooLarge, "the body is over the limit")
	}
	if err != nil {
		return nil, core.Refuse(core.CodeBadRequest, "the body could not be read: "+err.Error())
	}
	return body, nil
}

func bearer(request *http.Request) core.KeyHash {
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return ""
	}
	hash := sha256.Sum256([]byte(key))
	return core.KeyHash(hex.EncodeToString(hash[:]))
}

// validKey accepts an absent key; whether a call needs one is decided later.
func validKey(key string) bool {
	if len(key) > maxKey {
		return false
	}
	for _, char := range []byte(key) {
		if char < 0x20 || char > 0x7e {
			return false
		}
	}
	return true
}
