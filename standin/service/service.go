// Package service is a stand-in for a plain service. It counts how often each
// call and each idempotency key ran.
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
	// Delay is the time that a call runs.
	Delay   time.Duration
	VMs     []string
	VMToken string
}

// Faults is what the service is told to do wrong.
type Faults struct {
	// FailCalls is the number of next calls that run and answer 500.
	FailCalls int
	// LateCalls is the number of next calls that run and answer after LateMillis.
	LateCalls  int
	LateMillis int
	// DropCalls is the number of next calls that run and close the connection.
	DropCalls int
	Leaving   bool
}

// Answer is the body of every answer.
type Answer struct {
	Service core.ServiceID
	Call    string
	Key     core.IdempotencyKey
	// Run is the number of this run under the key, from 1.
	Run  int
	Body string
}

// Counts is what a service saw since it started.
type Counts struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Runs        int
	// Calls counts runs by method and path, Keys by idempotency key.
	Calls map[string]int
	Keys  map[core.IdempotencyKey]int
}

// maxBody bounds the body of a call.
const maxBody = 16 << 20

// Service is a stand-in for one process of a plain service.
type Service struct {
	settings    Settings
	incarnation core.Incarnation
	journal     *journal.Writer
	// mu guards faults and counts. Only the lock of the journal is taken within.
	mu     sync.Mutex
	faults Faults
	counts Counts
}

// New returns a service that writes what it saw to the journal.
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
	announcer.Run(ctx, service.announcement, func(announce.Body) {})
}

func (service *Service) announcement() announce.Body {
	service.mu.Lock()
	defer service.mu.Unlock()
	return announce.Body{
		Upstream: service.settings.Upstream, Incarnation: service.incarnation, Zone: service.settings.Zone,
		Kind: "service", Name: string(service.settings.Service), Address: service.settings.Address,
		Leaving: service.faults.Leaving, Resident: []announce.Resident{},
	}
}

// Handler returns the HTTP interface of the service. Every path that is not the
// stand-in's own is a call.
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
	reply(writer, http.StatusOK, service.counts)
}

func (service *Service) serveFail(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		reply(writer, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return
	}
	service.mu.Lock()
	service.faults = faults
	service.mu.Unlock()
	reply(writer, http.StatusOK, faults)
}

func (service *Service) serveCall(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBody))
	if err != nil {
		reply(writer, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return
	}
	key := core.IdempotencyKey(request.Header.Get("Idempotency-Key"))
	call := request.Method + " " + request.URL.Path
	run, faults := service.run(call, key, core.AttemptID(request.Header.Get("X-Attempt")))
	<-time.After(service.settings.Delay + time.Duration(faults.LateMillis)*time.Millisecond)
	if faults.DropCalls > 0 {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if faults.FailCalls > 0 {
		status = http.StatusInternalServerError
	}
	reply(writer, status, Answer{Service: service.settings.Service, Call: call, Key: key, Run: run, Body: string(body)})
}

// run counts the call and returns its number under the key and its faults.
func (service *Service) run(call string, key core.IdempotencyKey, attempt core.AttemptID) (int, Faults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.counts.Runs++
	service.counts.Calls[call]++
	if key != "" {
		service.counts.Keys[key]++
	}
	service.journal.Add(journal.Entry{Event: journal.Run, Key: string(key), Attempt: attempt, Detail: call})
	var applied Faults
	take := func(left, applied *int) bool {
		if *left == 0 {
			return false
		}
		*left--
		*applied = 1
		return true
	}
	take(&service.faults.FailCalls, &applied.FailCalls)
	take(&service.faults.DropCalls, &applied.DropCalls)
	if take(&service.faults.LateCalls, &applied.LateCalls) {
		applied.LateMillis = service.faults.LateMillis
	}
	return service.counts.Keys[key], applied
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(writer).Encode(body)
}
