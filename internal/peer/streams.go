package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streamSet holds the open streams of a link. A blocked stream read in yamux becomes a
// busy loop while the session shuts down, so failReads makes the reads return before the
// shutdown begins. The zero value is an empty set.
type streamSet struct {
	mutex  sync.Mutex // no other lock is acquired while it is held
	open   map[*yamux.Stream]struct{}
	failed bool
}

// pastDeadline is a deadline that has already passed.
var pastDeadline = time.Unix(1, 0)

// add adds an open stream. If failReads was called before, reads of the stream fail
// immediately.
func (streams *streamSet) add(stream *yamux.Stream) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	if streams.failed {
		_ = stream.SetReadDeadline(pastDeadline)
		return
	}
	if streams.open == nil {
		streams.open = make(map[*yamux.Stream]struct{})
	}
	streams.open[stream] = struct{}{}
}

func (streams *streamSet) remove(stream *yamux.Stream) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	delete(streams.open, stream)
}

// failReads makes pending and later reads of every stream fail.
func (streams *streamSet) failReads() {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	streams.failed = true
	for stream := range streams.open {
		_ = stream.SetReadDeadline(pastDeadline)
	}
}
