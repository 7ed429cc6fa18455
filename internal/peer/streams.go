package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streams are the open streams of a link. While a session of the multiplexer ends, the
// readers of its streams turn in a loop; end lets them return before it ends. The zero
// value has no streams.
type streams struct {
	lock  sync.Mutex // a leaf: nothing else is locked while it is held
	open  map[*yamux.Stream]struct{}
	ended bool
}

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// add notes an open stream. If the link has ended, reads of the stream fail at once.
func (streams *streams) add(stream *yamux.Stream) {
	streams.lock.Lock()
	defer streams.lock.Unlock()
	if streams.ended {
		_ = stream.SetReadDeadline(expired)
		return
	}
	if streams.open == nil {
		streams.open = make(map[*yamux.Stream]struct{})
	}
	streams.open[stream] = struct{}{}
}

func (streams *streams) remove(stream *yamux.Stream) {
	streams.lock.Lock()
	defer streams.lock.Unlock()
	delete(streams.open, stream)
}

// end lets every read of a stream fail.
func (streams *streams) end() {
	streams.lock.Lock()
	defer streams.lock.Unlock()
	streams.ended = true
	for stream := range streams.open {
		_ = stream.SetReadDeadline(expired)
	}
}
