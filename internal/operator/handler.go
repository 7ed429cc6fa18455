package operator

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// listWriter commits lists to the replicated state.
type listWriter interface {
	PutList(ctx context.Context, put ledger.PutList) (ledger.PutListResult, error)
}

// configurationReader returns accepted configurations.
type configurationReader interface {
	// Config returns the configuration with the given number, or the newest one if
	// number is zero. The bool is false if it does not exist.
	Config(ctx context.Context, number core.ConfigNumber) (core.Config, bool, error)
	// History returns up to limit changes with a number above after, oldest first.
	History(ctx context.Context, after core.ConfigNumber, limit int) ([]ledger.Change, error)
}

// statusReader returns the status of the deployment as this VM knows it.
type statusReader interface {
	Status(ctx context.Context) Status
	// Unconfirmed waits until every zone has confirmed the configuration with the
	// given number or ctx is done, and returns the zones that have not confirmed it.
	Unconfirmed(ctx context.Context, number core.ConfigNumber) []core.ZoneID
}

// levelSetter changes the log level of this VM.
type levelSetter interface {
	SetLevel(level string) error
}

// Options configures a Handler.
type Options struct {
	// Guard limits what operators hold; nil selects the defaults.
	Guard *guard.Guard
	// MaxList is the largest size of a list in a PUT, 32 MiB if it is zero.
	MaxList core.Bytes
	// TokenHashes are the lower-case hexadecimal SHA-256 hashes of the accepted tokens.
	TokenHashes []core.KeyHash
	Lists       listWriter
	// NotAccepted lists the errors of Lists after which a change certainly has no
	// effect. After any other error it may still be accepted.
	NotAccepted    []error
	Configurations configurationReader
	Statuses       statusReader
	Levels         levelSetter
	Logger         *log.Logger
}

// Handler serves the operator API under /admin/v1. Use New; the zero value is not usable.
type Handler struct {
	options Options
	bodies  guard.Bodies
	router  chi.Router
}

// New returns a handler with the given options.
func New(options Options) *Handler {
	options.MaxList = cmp.Or(options.MaxList, maxListBytes)
	// The largest list needs half of its size more while it is copied into a larger buffer.
	handler := &Handler{options: options, bodies: guard.Bodies{Guard: options.Guard, Memory: h1.Memory{Limit: options.MaxList * 3 / 2}}, router: chi.NewRouter()}
	handler.router.Route("/admin/v1", func(router chi.Router) {
		router.Use(handler.authorize)
		for _, kind := range []core.ListKind{core.PlansList, core.GrantsList} {
			router.Get("/"+kind.String(), func(writer http.ResponseWriter, request *http.Request) { handler.getList(writer, request, kind) })
			router.Put("/"+kind.String(), func(writer http.ResponseWriter, request *http.Request) { handler.putList(writer, request, kind) })
		}
		router.Get("/history", handler.getHistory)
		router.Get("/status", handler.getStatus)
		router.Put("/log-level", handler.putLogLevel)
	})
	return handler
}

// ServeHTTP implements http.Handler.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.router.ServeHTTP(writer, request)
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// operatorNameLength is the number of leading characters of a token's hash that identify
// the operator in the history.
const operatorNameLength = 12

// authorize rejects requests without a known operator token. It compares the token with
// every hash in constant time, so that response times reveal nothing about the hashes.
func (handler *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		tokenHash := hex.EncodeToString(sum[:])
		matches := 0
		for _, hash := range handler.options.TokenHashes {
			matches |= subtle.ConstantTimeCompare([]byte(hash), []byte(tokenHash))
		}
		if !found || matches == 0 {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(writer, http.StatusUnauthorized, errorBody{Error: "the operator token is missing or not known"})
			return
		}
		ctx := context.WithValue(request.Context(), operatorKey{}, tokenHash[:operatorNameLength])
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// operatorFromContext returns the operator's name, or an empty string if ctx has none.
func operatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string
	// Uncertain is true if the change may still be accepted although the call failed.
	Uncertain bool `json:",omitempty"`
}

// writeJSON writes a response with the given status and body as JSON.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // fails only if the client has disconnected
}
