package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// lists puts lists through the replicated state.
type lists interface {
	PutList(ctx context.Context, put ledger.PutList) (ledger.PutListResult, error)
}

// configurations reads accepted configurations.
type configurations interface {
	// Config returns a configuration by its number, the newest for zero, and false
	// if there is none.
	Config(ctx context.Context, number core.ConfigNumber) (core.Config, bool, error)
	// History returns up to limit changes after a number, the oldest first.
	History(ctx context.Context, after core.ConfigNumber, limit int) ([]ledger.Change, error)
}

// statuses describes the deployment as this VM sees it.
type statuses interface {
	Status(ctx context.Context) Status
	// Unconfirmed waits until every zone has the number or the context ends, and
	// returns the zones that have not confirmed it.
	Unconfirmed(ctx context.Context, number core.ConfigNumber) []core.ZoneID
}

// levels changes the log level of this VM.
type levels interface {
	SetLevel(level string) error
}

// Parts are what the handler needs from the other parts of the VM.
type Parts struct {
	// TokenHashes are the hashes of the operators' tokens.
	TokenHashes []core.KeyHash
	Lists       lists
	// NotAccepted are the errors of Lists after which a change has no effect for
	// certain. After any other error it may still be accepted.
	NotAccepted    []error
	Configurations configurations
	Statuses       statuses
	Levels         levels
	Logger         *log.Logger
}

// Handler answers the operators' calls. Use New; the zero value is not usable.
type Handler struct {
	parts  Parts
	router chi.Router
}

// New returns a handler.
func New(parts Parts) *Handler {
	handler := &Handler{parts: parts, router: chi.NewRouter()}
	handler.router.Route("/admin/v1", func(router chi.Router) {
		router.Use(handler.authorize)
		for _, kind := range []core.ListKind{core.PlansList, core.GrantsList} {
			router.Get("/"+kind.String(), func(writer http.ResponseWriter, request *http.Request) { handler.getList(writer, request, kind) })
			router.Put("/"+kind.String(), func(writer http.ResponseWriter, request *http.Request) { handler.putList(writer, request, kind) })
		}
		router.Get("/history", handler.history)
		router.Get("/status", handler.status)
		router.Put("/log-level", handler.logLevel)
	})
	return handler
}

// ServeHTTP answers a call.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.router.ServeHTTP(writer, request)
}

// operatorKey is the key of the operator's name in the context of a call.
type operatorKey struct{}

// operatorNameLength is the length of the part of a token's hash that names an
// operator in the history.
const operatorNameLength = 12

// authorize compares the token with every hash, so that the time does not tell
// which one is near.
func (handler *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		given := hex.EncodeToString(sum[:])
		known := 0
		for _, hash := range handler.parts.TokenHashes {
			known |= subtle.ConstantTimeCompare([]byte(hash), []byte(given))
		}
		if !found || known == 0 {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			answer(writer, http.StatusUnauthorized, failure{Error: "the operator token is missing or not known"})
			return
		}
		ctx := context.WithValue(request.Context(), operatorKey{}, given[:operatorNameLength])
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// operatorOf returns the name of the operator who made a call.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// failure is the body of an answer without a result.
type failure struct {
	Error string
	// Uncertain is set if a change may still be accepted.
	Uncertain bool `json:",omitempty"`
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // the caller has left if this fails
}
