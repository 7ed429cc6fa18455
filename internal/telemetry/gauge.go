package telemetry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// GaugeFamily is a family of gauges with the same name and one label, of which at most a given
// number exists at once. Use NewGaugeFamily; the zero value is not usable.
type GaugeFamily struct {
	name, label string
	limit       int

	mu      sync.Mutex // no other lock is acquired while it is held; guards byLabel
	byLabel map[string]*metrics.Gauge
}

// NewGaugeFamily returns a family of at most limit gauges with the given metric name and label
// name.
func NewGaugeFamily(name, label string, limit int) *GaugeFamily {
	return &GaugeFamily{name: name, label: label, limit: limit, byLabel: make(map[string]*metrics.Gauge)}
}

// Set sets the gauge with the given label value. It does nothing if that would be one gauge too
// many.
func (family *GaugeFamily) Set(value string, number float64) {
	family.mu.Lock()
	defer family.mu.Unlock()
	gauge := family.byLabel[value]
	if gauge == nil {
		if len(family.byLabel) >= family.limit {
			return
		}
		gauge = metrics.GetOrCreateGauge(family.metric(value), nil)
		family.byLabel[value] = gauge
	}
	gauge.Set(number)
}

// Remove removes the gauge with the given label value.
func (family *GaugeFamily) Remove(value string) {
	family.mu.Lock()
	defer family.mu.Unlock()
	if family.byLabel[value] != nil {
		metrics.UnregisterMetric(family.metric(value))
		delete(family.byLabel, value)
	}
}

func (family *GaugeFamily) metric(value string) string {
	return fmt.Sprintf("%s{%s=%q}", family.name, family.label, value)
}
