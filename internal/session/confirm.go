package session

import (
	"context"
	"sync"
)

// confirmer confirms the leadership once for all renewals that arrived before a round
// starts, so that the renewals of 420 VMs cost the replicas a few rounds per second.
type confirmer struct {
	confirm func(context.Context) error

	lock      sync.Mutex // leaf lock: no other lock is taken while it is held
	nextRound *confirmRound
	running   bool
}

// confirmRound is one confirmation of the leadership. err is set before done is
// closed.
type confirmRound struct {
	done chan struct{}
	err  error
}

// Wait returns nil if a round that started after the call has confirmed the
// leadership. Otherwise it returns the error of that round or of ctx.
func (confirmer *confirmer) Wait(ctx context.Context) error {
	round := confirmer.joinNextRound()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (confirmer *confirmer) joinNextRound() *confirmRound {
	confirmer.lock.Lock()
	defer confirmer.lock.Unlock()
	if confirmer.nextRound == nil {
		confirmer.nextRound = &confirmRound{done: make(chan struct{})}
	}
	if !confirmer.running {
		confirmer.running = true
		go confirmer.runRounds()
	}
	return confirmer.nextRound
}

func (confirmer *confirmer) runRounds() {
	for round := confirmer.startNextRound(); round != nil; round = confirmer.startNextRound() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		round.err = confirmer.confirm(ctx)
		cancel()
		close(round.done)
	}
}

// startNextRound returns the round to start, or nil if no renewal waits.
func (confirmer *confirmer) startNextRound() *confirmRound {
	confirmer.lock.Lock()
	defer confirmer.lock.Unlock()
	round := confirmer.nextRound
	confirmer.nextRound = nil
	confirmer.running = round != nil
	return round
}
