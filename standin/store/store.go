// Package store is a stand-in for the weight store with its limits: a rate of
// loads and a number of loads in transit at full speed.
package store

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Settings are the limits of the store. All must be set.
type Settings struct {
	LoadsPerSecond core.LoadsPerSecond
	// FullSpeed is the number of loads in transit up to which a load takes
	// LoadTime; beyond it takes proportionally longer.
	FullSpeed int
	LoadTime  time.Duration
}

// State is what the store is told to be.
type State struct {
	// Full makes the store refuse every load with 507, Unavailable with 503.
	Full        bool
	Unavailable bool
}

// Counts is what the store saw since it started.
type Counts struct {
	Served int
	// Refused counts loads over the rate, Failed those refused by State.
	Refused int
	Failed  int
	// MaxPerSecond is the largest number of requests within one second, including
	// refused ones.
	MaxPerSecond int
	MaxTransit   int
	Transit      int
}

// Store is a stand-in for the weight store.
type Store struct {
	settings Settings
	limit    *rate.Limiter
	// mu guards everything below; no other lock is taken while it is held.
	mu     sync.Mutex
	state  State
	counts Counts
	recent []time.Time
}

// New returns a store with the limits of the settings.
func New(settings Settings) *Store {
	burst := int(math.Ceil(float64(settings.LoadsPerSecond)))
	return &Store{settings: settings, limit: rate.NewLimiter(rate.Limit(settings.LoadsPerSecond), burst)}
}

// Handler returns the HTTP interface of the store.
func (store *Store) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/adapters/{adapter}/{version}", store.serveLoad)
	router.Get("/v1/standin/counts", store.serveCounts)
	router.Post("/v1/standin/fail", store.serveFail)
	return router
}

func (store *Store) serveLoad(writer http.ResponseWriter, request *http.Request) {
	duration, status := store.begin(time.Now())
	if status != http.StatusOK {
		http.Error(writer, http.StatusText(status), status)
		return
	}
	defer store.end()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-request.Context().Done():
		return
	case <-timer.C:
	}
	fmt.Fprintf(writer, "weights of %s@%s\n", chi.URLParam(request, "adapter"), chi.URLParam(request, "version"))
}

// begin counts a load and returns the time that it takes.
func (store *Store) begin(now time.Time) (time.Duration, int) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.recent = append(store.recent, now)
	for now.Sub(store.recent[0]) >= time.Second {
		store.recent = store.recent[1:]
	}
	store.counts.MaxPerSecond = max(store.counts.MaxPerSecond, len(store.recent))
	if store.state.Unavailable || store.state.Full {
		store.counts.Failed++
		if store.state.Unavailable {
			return 0, http.StatusServiceUnavailable
		}
		return 0, http.StatusInsufficientStorage
	}
	if !store.limit.AllowN(now, 1) {
		store.counts.Refused++
		return 0, http.StatusTooManyRequests
	}
	store.counts.Transit++
	store.counts.MaxTransit = max(store.counts.MaxTransit, store.counts.Transit)
	factor := max(1, float64(store.counts.Transit)/float64(store.settings.FullSpeed))
	return time.Duration(float64(store.settings.LoadTime) * factor), http.StatusOK
}

func (store *Store) end() {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.counts.Transit--
	store.counts.Served++
}

func (store *Store) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(writer).Encode(store.counts)
}

func (store *Store) serveFail(writer http.ResponseWriter, request *http.Request) {
	var state State
	if err := json.NewDecoder(request.Body).Decode(&state); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	store.mu.Lock()
	store.state = state
	store.mu.Unlock()
	writer.WriteHeader(http.StatusOK)
}
