package relay

import "sync"

// Endpoint names one end of a route, such as a VM or an engine. "*" matches any.
type Endpoint string

const anyEndpoint Endpoint = "*"

// Direction identifies the traffic from one endpoint to another.
type Direction struct {
	From Endpoint
	To   Endpoint
}

// partition holds the directions whose traffic is blocked.
type partition struct {
	// mu guards the fields below; no other lock is taken while it is held.
	mu      sync.Mutex
	cut     map[Direction]bool
	changed chan struct{}
}

func newPartition() *partition {
	return &partition{cut: make(map[Direction]bool), changed: make(chan struct{})}
}

// isOpen reports whether the direction is open, and returns a channel that is
// closed at the next change.
func (partition *partition) isOpen(direction Direction) (open bool, changed <-chan struct{}) {
	partition.mu.Lock()
	defer partition.mu.Unlock()
	for _, key := range []Direction{direction, {direction.From, anyEndpoint}, {anyEndpoint, direction.To}, {anyEndpoint, anyEndpoint}} {
		if partition.cut[key] {
			return false, partition.changed
		}
	}
	return true, partition.changed
}

// update applies the change to the set of cut directions and wakes all waiters.
func (partition *partition) update(change func(cut map[Direction]bool)) {
	partition.mu.Lock()
	defer partition.mu.Unlock()
	change(partition.cut)
	close(partition.changed)
	partition.changed = make(chan struct{})
}
