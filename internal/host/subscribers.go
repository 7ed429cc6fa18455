package host

import "sync"

// subscribers are the channels that Replica.Subscribe returned. The zero value has
// none.
type subscribers struct {
	lock     sync.Mutex // leaf lock: no other lock is taken while it is held
	channels map[chan struct{}]bool
}

func (subscribers *subscribers) add() (<-chan struct{}, func()) {
	subscribers.lock.Lock()
	defer subscribers.lock.Unlock()
	if subscribers.channels == nil {
		subscribers.channels = make(map[chan struct{}]bool)
	}
	channel := make(chan struct{}, 1)
	subscribers.channels[channel] = true
	return channel, func() { subscribers.remove(channel) }
}

func (subscribers *subscribers) remove(channel chan struct{}) {
	subscribers.lock.Lock()
	defer subscribers.lock.Unlock()
	delete(subscribers.channels, channel)
}

func (subscribers *subscribers) signal() {
	subscribers.lock.Lock()
	defer subscribers.lock.Unlock()
	for channel := range subscribers.channels {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}
