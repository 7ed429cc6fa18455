// Package service simulates a plain service. It counts the runs of each call and
// of each idempotency key.
package service

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/announce"
	"github.com/dandelionring/dandelionring/standin/journal"
)

// Settings describe one process of a service. Upstream, Zone and Service must be
// set.
type Settings struct {
	Upstream core.UpstreamID
	Zone     core.ZoneID
	Service  core.ServiceID
	Address  string
	// Delay is the duration of a call.
	Delay   time.Duration
	VMs     []string
	VMToken string
}

// Faults selects the failures that the service simulates. POST /v1/standin/fail
// sets it.
type Faults struct {
	// FailCalls is the number of subsequent calls that run and answer with status
	// 500.
	FailCalls int
	// LateCalls is the number of subsequent calls that run and answer after an
	// additional LateMillis.
	LateCalls  int
	LateMillis int
	// DropCalls is the number of subsequent calls that run and then close the
	// connection without an answer.
	DropCalls int
	// Leaving makes the service announce that it shuts down.
	Leaving bool
}

// Answer is the JSON body of the response to a call.
type Answer struct {
	Service core.ServiceID
	Call    string
	Key     core.IdempotencyKey
	// Run is the number of runs with the key so far, including this one; 0 without
	// a key.
	Run  int
	Body string
}

// Counts holds the counters of a service since its start.
type Counts struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Runs        int
	// Calls counts runs by method and path, Keys by idempotency key; runs without
	// a key are not in Keys.
	Calls map[string]int
	Keys  map[core.IdempotencyKey]int
}

// maxBodyBytes is the maximum length of the body of a call; the rest is not read.
const maxBodyBytes = 16 << 20

// Service simulates one process of a plain service. It is safe for concurrent use.
type Service struct {
	settings    Settings
	incarnation core.Incarnation
	journal     *journal.Writer
	// mu guards faults and counts. Only the lock of the journal may be taken while
	// it is held.
	mu     sync.Mutex
	faults Faults
	counts Counts
}

// New returns a service with a new random incarnation. It records its runs in the
// journal that writer returns for the incarnation.
func New(settings Settings, writer func(core.Incarnation) *journal.Writer) *Service {
	incarnation := core.Incarnation(rand.Text())
	return &Service{
		settings: settings, incarnation: incarnation, journal: writer(incarnation),
		counts: Counts{
			Upstream: settings.Upstream, Incarnation: incarnation,
			Calls: make(map[string]int), Keys: make(map[core.IdempotencyKey]int),
		},
	}
}

// Run announces the service until the context ends.
func (service *Service) Run(ctx context.Context) {
	announcer := announce.New(service.settings.VMs, service.settings.VMToken)
	announcer.Run(ctx, service.announcementBody, func(announce.Body) {})
}

func (service *Service) announcementBody() announce.Body {
	service.mu.Lock()
	defer service.mu.Unlock()
	return announce.Body{
		Upstream: service.settings.Upstream, Incarnation: service.incarnation, Zone: service.settings.Zone,
		Kind: "service", Name: string(service.settings.Service), Address: service.settings.Address,
		Leaving: service.faults.Leaving, Resident: []announce.Resident{},
	}
}

// Handler returns the HTTP interface of the service. Every request outside
// /v1/standin/ is a call.
func (service *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/standin/counts", service.serveCounts)
	router.Post("/v1/standin/fail", service.serveFail)
	router.HandleFunc("/*", service.serveCall)
	return router
}

func (service *Service) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	service.mu.Lock()
	defer service.mu.Unlock()
	writeJSON(writer, http.StatusOK, service.counts)
}

func (service *Service) serveFail(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		writeJSON(writer, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return
	}
	service.mu.Lock()
	service.faults = faults
	service.mu.Unlock()
	writeJSON(writer, http.StatusOK, faults)
}

func (service *Service) serveCall(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return
	}
	key := core.IdempotencyKey(request.Header.Get("Idempotency-Key"))
	call := request.Method + " " + request.URL.Path
	run, faults := service.startRun(call, key, core.AttemptID(request.Header.Get("X-Attempt")))
	<-time.After(service.settings.Delay + time.Duration(faults.LateMillis)*time.Millisecond)
	if faults.DropCalls > 0 {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if faults.FailCalls > 0 {
		status = http.StatusInternalServerError
	}
	writer.Header().Set("X-Attempt", request.Header.Get("X-Attempt"))
	writeJSON(writer, status, Answer{Service: service.settings.Service, Call: call, Key: key, Run: run, Body: string(body)})
}

// startRun counts the call. It returns the number of runs with the key, 0 without
// a key, and the faults to apply to this call.
func (service *Service) startRun(call string, key core.IdempotencyKey, attempt core.AttemptID) (int, Faults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.counts.Runs++
	service.counts.Calls[call]++
	if key != "" {
		service.counts.Keys[key]++
	}
	service.journal.Add(journal.Entry{Event: journal.Run, Key: string(key), Attempt: attempt, Detail: call})
	var applied Faults
	consume := func(left, applied *int) bool {
		if *left == 0 {
			return false
		}
		*left--
		*applied = 1
		return true
	}
	consume(&service.faults.FailCalls, &applied.FailCalls)
	consume(&service.faults.DropCalls, &applied.DropCalls)
	if consume(&service.faults.LateCalls, &applied.LateCalls) {
		applied.LateMillis = service.faults.LateMillis
	}
	return service.counts.Keys[key], applied
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(writer).Encode(body)
}
