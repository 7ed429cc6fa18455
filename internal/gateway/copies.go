package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// copyInterval is the least time between two requests for copies of the same weights.
	copyInterval = 500 * time.Millisecond
	// copyWorkers is the number of concurrent requests for copies, and copyQueue the
	// number of queued ones. Further requests are dropped.
	copyWorkers = 2
	copyQueue   = 32
)

// copyRequester requests another copy of weights whose engines are nearly full, without
// delaying the caller's requests. The zero value requests nothing until start is called.
type copyRequester struct {
	queue chan fleet.Query

	// lock has position 3 in the lock order. It guards lastRequested.
	lock sync.Mutex
	// lastRequested holds the time of the last request, by weights.
	lastRequested map[core.WeightKey]time.Duration
}

// start runs the workers and returns a function that stops them.
func (requester *copyRequester) start(placer placer) func() {
	ctx, cancel := context.WithCancel(context.Background())
	requester.queue = make(chan fleet.Query, copyQueue)
	requester.lastRequested = make(map[core.WeightKey]time.Duration)
	var running sync.WaitGroup
	for range copyWorkers {
		running.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case query := <-requester.queue:
					placer.Place(ctx, query, true, maxPlacementWait)
				}
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// request queues a request for another engine than those that were tried and the one that
// is nearly full. It never blocks: the request is dropped if the queue is full, or if the
// same weights were requested less than copyInterval ago.
func (requester *copyRequester) request(query fleet.Query, full core.UpstreamID) {
	if !requester.allow(clock.Now(), query.Weights) {
		return
	}
	query.Exclude = append(slices.Clone(query.Exclude), full)
	select {
	case requester.queue <- query:
	default:
	}
}

// allow reports whether the weights may be requested now, and notes the time if so.
func (requester *copyRequester) allow(now time.Duration, key core.WeightKey) bool {
	requester.lock.Lock()
	defer requester.lock.Unlock()
	if now-requester.lastRequested[key] < copyInterval {
		return false
	}
	for other, at := range requester.lastRequested {
		if now-at >= copyInterval {
			delete(requester.lastRequested, other)
		}
	}
	requester.lastRequested[key] = now
	return true
}
