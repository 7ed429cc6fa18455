package host

import "sync"

// watchers are the subscribers of a replica. The zero value has none.
type watchers struct {
	lock     sync.Mutex // a leaf: nothing else is locked while it is held
	channels map[chan struct{}]bool
}

func (watchers *watchers) add() (<-chan struct{}, func()) {
	watchers.lock.Lock()
	defer watchers.lock.Unlock()
	if watchers.channels == nil {
		watchers.channels = make(map[chan struct{}]bool)
	}
	channel := make(chan struct{}, 1)
	watchers.channels[channel] = true
	return channel, func() { watchers.remove(channel) }
}

func (watchers *watchers) remove(channel chan struct{}) {
	watchers.lock.Lock()
	defer watchers.lock.Unlock()
	delete(watchers.channels, channel)
}

func (watchers *watchers) signal() {
	watchers.lock.Lock()
	defer watchers.lock.Unlock()
	for channel := range watchers.channels {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}
