package telemetry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// CounterFamily is a family of counters with the same name and two labels. Use
// NewCounterFamily; the zero value is not usable.
type CounterFamily struct {
	name                    string
	firstLabel, secondLabel string

	mu       sync.RWMutex // no other lock is acquired while it is held; guards byLabels
	byLabels map[[2]string]*metrics.Counter
}

// NewCounterFamily returns a family of counters with the given metric name and label names.
func NewCounterFamily(name, firstLabel, secondLabel string) *CounterFamily {
	return &CounterFamily{name: name, firstLabel: firstLabel, secondLabel: secondLabel, byLabels: make(map[[2]string]*metrics.Counter)}
}

// Inc increments the counter with the given label values.
func (family *CounterFamily) Inc(first, second string) { family.Add(first, second, 1) }

// Add adds to the counter with the given label values.
func (family *CounterFamily) Add(first, second string, count int) {
	key := [2]string{first, second}
	family.mu.RLock()
	counter := family.byLabels[key]
	family.mu.RUnlock()
	if counter == nil {
		counter = metrics.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q,%s=%q}", family.name, family.firstLabel, first, family.secondLabel, second))
		family.mu.Lock()
		family.byLabels[key] = counter
		family.mu.Unlock()
	}
	counter.Add(count)
}
