package policy

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/budget"
)

// store is a fake of the weight store. It starts at most Share.PerSecond loads a
// second with a burst of Share.Concurrent, serves Share.Concurrent loads at once,
// and lets the others wait in order. Above Share.Transits loads in transit each
// takes proportionally longer.
type store struct {
	clock   *clock
	share   budget.Share
	bucket  *budget.Budget
	waiting []func()
	transit int
	armed   bool
}

func newStore(clock *clock, share budget.Share) *store {
	return &store{clock: clock, share: share, bucket: budget.New(share, clock.now)}
}

// load calls done when the weights have arrived.
func (store *store) load(done func()) {
	store.transit++
	store.waiting = append(store.waiting, done)
	store.serve()
}

func (store *store) serve() {
	for len(store.waiting) > 0 && store.bucket.Take(store.clock.now) {
		done := store.waiting[0]
		store.waiting = store.waiting[1:]
		store.clock.after(store.time(), func() {
			store.transit--
			store.bucket.Done()
			done()
			store.serve()
		})
	}
	if next, ok := store.bucket.Next(store.clock.now); ok && len(store.waiting) > 0 && !store.armed {
		store.armed = true
		store.clock.at(next, func() {
			store.armed = false
			store.serve()
		})
	}
}

func (store *store) time() time.Duration {
	load := store.share.LoadTime
	if store.transit > store.share.Transits {
		load = load * time.Duration(store.transit) / time.Duration(store.share.Transits)
	}
	return load
}
