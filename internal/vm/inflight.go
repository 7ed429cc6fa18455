package vm

import (
	"context"
	"sync"
)

// inFlight counts calls. The zero value is ready to use.
type inFlight struct {
	// mutex is held for no other lock.
	mutex sync.Mutex
	count int
	// idle is closed when the count falls to zero; nil while nobody waits.
	idle chan struct{}
}

func (calls *inFlight) enter() {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	calls.count++
}

func (calls *inFlight) leave() {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	calls.count--
	if calls.count == 0 && calls.idle != nil {
		close(calls.idle)
		calls.idle = nil
	}
}

// wait returns nil once no call is in flight, and the error of the context otherwise.
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
