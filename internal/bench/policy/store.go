package policy

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/budget"
)

// weightStore simulates the weight store. It starts at most Share.PerSecond loads per
// second with a burst of Share.Concurrent, serves at most Share.Concurrent loads at
// once, and queues the others in order of arrival. With more than Share.Transits loads
// queued or in service, each load takes proportionally longer.
type weightStore struct {
	clock         *clock
	share         budget.Share
	budget        *budget.Budget
	waiting       []func()
	inTransit     int
	wakeScheduled bool
}

func newWeightStore(clock *clock, share budget.Share) *weightStore {
	return &weightStore{clock: clock, share: share, budget: budget.New(share, clock.now)}
}

// load queues a load and calls done when the weights have arrived.
func (store *weightStore) load(done func()) {
	store.inTransit++
	store.waiting = append(store.waiting, done)
	store.startLoads()
}

// startLoads starts queued loads as far as the budget allows and schedules the next
// attempt.
func (store *weightStore) startLoads() {
	for len(store.waiting) > 0 && store.budget.Take(store.clock.now) {
		done := store.waiting[0]
		store.waiting = store.waiting[1:]
		store.clock.after(store.loadDuration(), func() {
			store.inTransit--
			store.budget.EndLoad()
			done()
			store.startLoads()
		})
	}
	if next, ok := store.budget.NextStart(store.clock.now); ok && len(store.waiting) > 0 && !store.wakeScheduled {
		store.wakeScheduled = true
		store.clock.at(next, func() {
			store.wakeScheduled = false
			store.startLoads()
		})
	}
}

// loadDuration returns the duration of a load that starts now.
func (store *weightStore) loadDuration() time.Duration {
	load := store.share.LoadTime
	if store.inTransit > store.share.Transits {
		load = load * time.Duration(store.inTransit) / time.Duration(store.share.Transits)
	}
	return load
}
