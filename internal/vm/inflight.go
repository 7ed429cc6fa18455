package vm

import (
	"context"
	"sync"
)

// inFlight counts the calls in flight. The zero value is ready to use.
type inFlight struct {
	// No other lock is acquired while mutex is held.
	mutex sync.Mutex
	count int
	// idle is closed when the count falls to zero. It is nil while no caller waits.
	idle chan struct{}
}

func (calls *inFlight) begin() {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	calls.count++
}

func (calls *inFlight) end() {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	calls.count--
	if calls.count == 0 && calls.idle != nil {
		close(calls.idle)
		calls.idle = nil
	}
}

// wait waits until no call is in flight. It returns the cause of the context's end if
// that comes first.
func (calls *inFlight) wait(ctx context.Context) error {
	calls.mutex.Lock()
	if calls.count == 0 {
		calls.mutex.Unlock()
		return nil
	}
	if calls.idle == nil {
		calls.idle = make(chan struct{})
	}
	idle := calls.idle
	calls.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
