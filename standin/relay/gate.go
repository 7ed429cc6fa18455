package relay

import "sync"

// End names one end of a route, such as a VM or an engine. "*" stands for any.
type End string

const anyEnd End = "*"

// Direction is the way of bytes from one end to another.
type Direction struct {
	From End
	To   End
}

// gate tells which directions are cut.
type gate struct {
	// mu guards the fields below; no other lock is taken while it is held.
	mu      sync.Mutex
	cut     map[Direction]bool
	changed chan struct{}
}

func newGate() *gate {
	return &gate{cut: make(map[Direction]bool), changed: make(chan struct{})}
}

// state returns whether the direction is open and a channel that is closed at
// the next change.
func (gate *gate) state(way Direction) (open bool, changed <-chan struct{}) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	for _, key := range []Direction{way, {way.From, anyEnd}, {anyEnd, way.To}, {anyEnd, anyEnd}} {
		if gate.cut[key] {
			return false, gate.changed
		}
	}
	return true, gate.changed
}

// update changes the cut directions and tells everyone who waits.
func (gate *gate) update(change func(cut map[Direction]bool)) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	change(gate.cut)
	close(gate.changed)
	gate.changed = make(chan struct{})
}
