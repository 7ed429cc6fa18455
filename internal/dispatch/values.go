package dispatch

import (
	"sync"
	"sync/atomic"
)

// gaugeValues holds the values of gauges by the full metric name with its labels.
type gaugeValues struct {
	// mutex is lock 5 in the lock order of the VM.
	mutex  sync.Mutex
	values map[string]*atomic.Int64
}

// get returns the value of a gauge and creates it on the first call.
func (store *gaugeValues) get(name string) *atomic.Int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	value, known := store.values[name]
	if !known {
		value = new(atomic.Int64)
		store.values[name] = value
	}
	return value
}
