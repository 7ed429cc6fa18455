package upstream

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/guard"
	"github.com/dandelionring/dandelionring/internal/h1"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// registry forwards announcements to the owner of the upstream's group.
type registry interface {
	// Announce returns the owner of the group, or an error if the announcement did not
	// reach an owner.
	Announce(ctx context.Context, announcement core.Announcement) (core.VMID, error)
	// CacheEvents forwards cache events without a guarantee of delivery.
	CacheEvents(upstream core.UpstreamID, incarnation core.Incarnation, events []CacheEvent)
}

// NewHandler returns the handler for the announcements and cache events of upstreams.
// Requests must carry the token as bearer token; an empty token disables the check. Bodies for
// which bodies has no room are refused.
func NewHandler(token string, registry registry, bodies *guard.Bodies) http.Handler {
	handler := &handler{token: token, registry: registry, bodies: bodies}
	router := chi.NewRouter()
	router.Use(handler.authorize)
	router.Post("/v1/announce", handler.announce)
	router.Post("/v1/cache-events", handler.cacheEvents)
	return router
}

type handler struct {
	token    string
	registry registry
	bodies   *guard.Bodies
}

// announceResponse is the JSON body of the response to an announcement or to cache events.
type announceResponse struct {
	Accepted bool
	Owner    core.VMID              `json:",omitempty"`
	Reason   string                 `json:",omitempty"`
	Faults   []core.ValidationError `json:",omitempty"`
}

// authorize answers a request without the token with status 401.
func (handler *handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		if handler.token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(handler.token)) != 1 {
			writeJSON(writer, http.StatusUnauthorized, announceResponse{Reason: "wrong upstream token"})
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// refuseBody answers a request whose body was not read.
func refuseBody(writer http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if errors.Is(err, h1.ErrMemory) {
		status = http.StatusServiceUnavailable
	}
	writeJSON(writer, status, announceResponse{Reason: err.Error()})
}

func (handler *handler) announce(writer http.ResponseWriter, request *http.Request) {
	body, free, err := handler.bodies.Read(writer, request, maxAnnouncementBytes)
	if err != nil {
		refuseBody(writer, err)
		return
	}
	defer free()
	announcement, faults, err := DecodeAnnouncement(body)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, announceResponse{Reason: err.Error()})
		return
	}
	if len(faults) > 0 {
		writeJSON(writer, http.StatusUnprocessableEntity, announceResponse{Faults: faults})
		return
	}
	owner, err := handler.registry.Announce(request.Context(), announcement)
	if err != nil {
		writeJSON(writer, http.StatusServiceUnavailable, announceResponse{Reason: err.Error()})
		return
	}
	writeJSON(writer, http.StatusOK, announceResponse{Accepted: true, Owner: owner})
}

func (handler *handler) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	body, free, err := handler.bodies.Read(writer, request, maxAnnouncementBytes)
	if err != nil {
		refuseBody(writer, err)
		return
	}
	defer free()
	upstream, incarnation, events, err := DecodeCacheEvents(body)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, announceResponse{Reason: err.Error()})
		return
	}
	handler.registry.CacheEvents(upstream, incarnation, events)
	writeJSON(writer, http.StatusOK, announceResponse{Accepted: true})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
