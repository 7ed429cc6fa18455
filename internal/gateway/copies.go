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
	// copyInterval is the time between two requests for one more copy of the same weights.
	copyInterval = 500 * time.Millisecond
	// copyWorkers is the number of requests for copies that are on their way at once, and
	// copyQueue the number of those that wait; more are left out.
	copyWorkers = 2
	copyQueue   = 32
)

// copies asks for one more copy of weights whose engines are nearly full, beside the
// requests that meet them. The zero value asks for nothing until start is called.
type copies struct {
	queue chan fleet.Query

	// lock is table 3 of the lock order.
	lock  sync.Mutex
	asked map[core.WeightKey]time.Duration
}

// start runs the workers and returns a function that stops them.
func (copies *copies) start(placer placer) func() {
	ctx, cancel := context.WithCancel(context.Background())
	copies.queue = make(chan fleet.Query, copyQueue)
	copies.asked = make(map[core.WeightKey]time.Duration)
	var running sync.WaitGroup
	for range copyWorkers {
		running.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case query := <-copies.queue:
					placer.Place(ctx, query, true, maxPlace)
				}
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// ask asks for an engine beside those that were tried and the one that is nearly full. It
// never waits.
func (copies *copies) ask(query fleet.Query, full core.UpstreamID) {
	if !copies.due(clock.Now(), query.Weights) {
		return
	}
	query.Exclude = append(slices.Clone(query.Exclude), full)
	select {
	case copies.queue <- query:
	default:
	}
}

func (copies *copies) due(now time.Duration, key core.WeightKey) bool {
	copies.lock.Lock()
	defer copies.lock.Unlock()
	if now-copies.asked[key] < copyInterval {
		return false
	}
	for other, at := range copies.asked {
		if now-at >= copyInterval {
			delete(copies.asked, other)
		}
	}
	copies.asked[key] = now
	return true
}
