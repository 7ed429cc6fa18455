package upstream

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

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
// Requests must carry the token as bearer token; an empty token disables the check.
func NewHandler(token string, registry registry) http.Handler {
	handler := &handler{token: token, registry: registry}
	router := chi.NewRouter()
	router.Use(handler.authorize)
	router.Post("/v1/announce", handler.announce)
	router.Post("/v1/cache-events", handler.cacheEvents)
	return router
}

type handler struct {
	token    string
	registry registry
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

func (handler *handler) announce(writer http.ResponseWriter, request *http.Request) {
	body, err := readJSON(writer, request, maxAnnouncementBytes)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, announceResponse{Reason: err.Error()})
		return
	}
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
	body, err := readJSON(writer, request, maxAnnouncementBytes)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, announceResponse{Reason: err.Error()})
		return
	}
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
