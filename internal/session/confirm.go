package session

import (
	"context"
	"sync"
)

// confirmer confirms the leadership for all renewals that arrived before a round
// starts, so that 420 VMs cost the replicas a few rounds a second.
type confirmer struct {
	confirm func(context.Context) error

	lock    sync.Mutex // a leaf: nothing else is locked while it is held
	next    *confirmation
	running bool
}

// confirmation is one round. The error is set before done is closed.
type confirmation struct {
	done chan struct{}
	err  error
}

// Wait returns nil if a round that started after the call has confirmed the
// leadership.
func (confirmer *confirmer) Wait(ctx context.Context) error {
	round := confirmer.join()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (confirmer *confirmer) join() *confirmation {
	confirmer.lock.Lock()
	defer confirmer.lock.Unlock()
	if confirmer.next == nil {
		confirmer.next = &confirmation{done: make(chan struct{})}
	}
	if !confirmer.running {
		confirmer.running = true
		go confirmer.run()
	}
	return confirmer.next
}

func (confirmer *confirmer) run() {
	for round := confirmer.take(); round != nil; round = confirmer.take() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		round.err = confirmer.confirm(ctx)
		cancel()
		close(round.done)
	}
}

// take returns the round that is to start now, and nil if nobody waits.
func (confirmer *confirmer) take() *confirmation {
	confirmer.lock.Lock()
	defer confirmer.lock.Unlock()
	round := confirmer.next
	confirmer.next = nil
	confirmer.running = round != nil
	return round
}
