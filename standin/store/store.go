// Package store simulates the weight store with its two limits: the rate of loads,
// and the number of concurrent loads that are served at full speed.
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
	// FullSpeed is the number of concurrent loads up to which each load takes
	// LoadTime. Above it, the time grows in proportion to the number of loads.
	FullSpeed int
	LoadTime  time.Duration
}

// State holds the failures that the store simulates. POST /v1/standin/fail sets it.
type State struct {
	// Full makes the store refuse every load with status 507, Unavailable with
	// status 503. Unavailable takes precedence.
	Full        bool
	Unavailable bool
}

// Counts holds the counters of the store since its start.
type Counts struct {
	// Served counts loads that ended, including those whose client disconnected.
	Served int
	// Refused counts loads above the rate limit, Failed those refused because of
	// State.
	Refused int
	Failed  int
	// MaxPerSecond is the largest number of requests within one second, including
	// refused ones.
	MaxPerSecond int
	// Transit is the number of loads in progress, MaxTransit its maximum.
	MaxTransit int
	Transit    int
}

// Store simulates the weight store. It is safe for concurrent use.
type Store struct {
	settings Settings
	limiter  *rate.Limiter
	// mu guards everything below; no other lock is taken while it is held.
	mu     sync.Mutex
	state  State
	counts Counts
	// recent holds the times of the requests within the last second.
	recent []time.Time
}

// New returns a store with the given limits.
func New(settings Settings) *Store {
	burst := int(math.Ceil(float64(settings.LoadsPerSecond)))
	return &Store{settings: settings, limiter: rate.NewLimiter(rate.Limit(settings.LoadsPerSecond), burst)}
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
	duration, status := store.startLoad(time.Now())
	if status != http.StatusOK {
		http.Error(writer, http.StatusText(status), status)
		return
	}
	defer store.finishLoad()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-request.Context().Done():
		return
	case <-timer.C:
	}
	fmt.Fprintf(writer, "weights of %s@%s\n", chi.URLParam(request, "adapter"), chi.URLParam(request, "version"))
}

// startLoad counts a load and returns its duration and status 200, or the status
// of the refusal. After status 200 the caller must call finishLoad.
func (store *Store) startLoad(now time.Time) (time.Duration, int) {
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
	if !store.limiter.AllowN(now, 1) {
		store.counts.Refused++
		return 0, http.StatusTooManyRequests
	}
	store.counts.Transit++
	store.counts.MaxTransit = max(store.counts.MaxTransit, store.counts.Transit)
	factor := max(1, float64(store.counts.Transit)/float64(store.settings.FullSpeed))
	return time.Duration(float64(store.settings.LoadTime) * factor), http.StatusOK
}

func (store *Store) finishLoad() {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.counts.Transit--
	store.counts.Served++
}

func (store *Store) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	store.mu.Lock()
	defer store.mu.Unlock()
	// An error means that the client has disconnected, so it cannot be reported.
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
