package gateway

import (
	"context"
	"sync"
	"time"
)

// stopping is the planned end of a gateway.
type stopping struct {
	// ended ends with the time until which responses can be written.
	ended context.Context
	end   context.CancelFunc

	// lock is a leaf lock: no other lock is acquired while it is held. It guards lateFrom and
	// endsAt, which are zero until Stop is called.
	lock             sync.Mutex
	lateFrom, endsAt time.Time
}

// reasonStopping is the reason of refusals because the process ends.
const reasonStopping = "this VM stops"

// Stop announces that the process ends. Requests that are not answered at the time endsAt get a
// response then that says whether they may have run; streams that have begun are broken off.
// From lateFrom on, a request whose time limit ends after endsAt is refused before it is sent
// to an upstream. The function that it returns frees its timer.
func (gateway *Gateway) Stop(lateFrom, endsAt time.Time) (release func()) {
	stopping := &gateway.stopping
	stopping.lock.Lock()
	defer stopping.lock.Unlock()
	stopping.lateFrom, stopping.endsAt = lateFrom, endsAt
	timer := time.AfterFunc(time.Until(endsAt), stopping.end)
	return func() { timer.Stop() }
}

// announced reports whether Stop was called.
func (stopping *stopping) announced() bool {
	stopping.lock.Lock()
	defer stopping.lock.Unlock()
	return !stopping.endsAt.IsZero()
}

// limit returns the time limit of a request that arrives now and has the given one. It returns
// false if the request must be refused.
func (stopping *stopping) limit(now, deadline time.Time) (time.Time, bool) {
	stopping.lock.Lock()
	defer stopping.lock.Unlock()
	if stopping.endsAt.IsZero() || !deadline.After(stopping.endsAt) {
		return deadline, true
	}
	return stopping.endsAt, now.Before(stopping.lateFrom)
}
