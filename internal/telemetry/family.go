package telemetry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Counters are counters of one name that differ in the values of two labels. Their zero
// value is not usable; use NewCounters.
type Counters struct {
	name          string
	first, second string

	lock sync.RWMutex // a leaf
	all  map[[2]string]*metrics.Counter
}

// NewCounters returns counters with two labels.
func NewCounters(name, first, second string) *Counters {
	return &Counters{name: name, first: first, second: second, all: make(map[[2]string]*metrics.Counter)}
}

// Inc adds one to the counter with the given values of the labels.
func (counters *Counters) Inc(first, second string) {
	key := [2]string{first, second}
	counters.lock.RLock()
	counter := counters.all[key]
	counters.lock.RUnlock()
	if counter == nil {
		counter = metrics.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q,%s=%q}", counters.name, counters.first, first, counters.second, second))
		counters.lock.Lock()
		counters.all[key] = counter
		counters.lock.Unlock()
	}
	counter.Inc()
}
