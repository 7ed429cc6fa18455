package dispatch

import (
	"sync"
	"sync/atomic"
)

// metricValues are the values behind gauges, by their full names.
type metricValues struct {
	// mutex is lock 5 of the VM.
	mutex  sync.Mutex
	values map[string]*atomic.Int64
}

func (list *metricValues) get(name string) *atomic.Int64 {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	value, known := list.values[name]
	if !known {
		value = new(atomic.Int64)
		list.values[name] = value
	}
	return value
}
