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

// registry takes announcements to the owner of the upstream's group.
type registry interface {
	// Announce returns the owner of the group. It returns an error if the
	// announcement could not reach an owner.
	Announce(ctx context.Context, announcement core.Announcement) (core.VMID, error)
	// CacheEvents passes events on; they may be lost.
	CacheEvents(upstream core.UpstreamID, incarnation core.Incarnation, events []CacheEvent)
}

// NewHandler returns the handler of the address at which upstreams announce
// themselves. An empty token accepts every announcement.
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

type announceResult struct {
	Accepted bool
	Owner    core.VMID    `json:",omitempty"`
	Reason   string       `json:",omitempty"`
	Faults   []core.Fault `json:",omitempty"`
}

func (handler *handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		if handler.token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(handler.token)) != 1 {
			reply(writer, http.StatusUnauthorized, announceResult{Reason: "wrong upstream token"})
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (handler *handler) announce(writer http.ResponseWriter, request *http.Request) {
	body, err := readBody(writer, request, maxAnnouncement)
	if err != nil {
		reply(writer, http.StatusBadRequest, announceResult{Reason: err.Error()})
		return
	}
	announcement, faults, err := DecodeAnnouncement(body)
	if err != nil {
		reply(writer, http.StatusBadRequest, announceResult{Reason: err.Error()})
		return
	}
	if len(faults) > 0 {
		reply(writer, http.StatusUnprocessableEntity, announceResult{Faults: faults})
		return
	}
	owner, err := handler.registry.Announce(request.Context(), announcement)
	if err != nil {
		reply(writer, http.StatusServiceUnavailable, announceResult{Reason: err.Error()})
		return
	}
	reply(writer, http.StatusOK, announceResult{Accepted: true, Owner: owner})
}

func (handler *handler) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	body, err := readBody(writer, request, maxAnnouncement)
	if err != nil {
		reply(writer, http.StatusBadRequest, announceResult{Reason: err.Error()})
		return
	}
	upstream, incarnation, events, err := DecodeCacheEvents(body)
	if err != nil {
		reply(writer, http.StatusBadRequest, announceResult{Reason: err.Error()})
		return
	}
	handler.registry.CacheEvents(upstream, incarnation, events)
	reply(writer, http.StatusOK, announceResult{Accepted: true})
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
