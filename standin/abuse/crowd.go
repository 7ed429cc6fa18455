package abuse

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Crowd is a number of clients of one kind at one port. Use Start.
type Crowd struct {
	moved atomic.Int64
}

// Start starts the clients of a kind, which use the paths in turn, and returns them and a
// function that closes their connections and waits for their end.
func Start(kind Kind, address string, paths []Path) (*Crowd, func()) {
	crowd := &Crowd{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range kind.Clients {
		client := &client{kind: kind, path: paths[i%len(paths)], address: address, moved: func(bytes int) { crowd.moved.Add(int64(bytes)) }}
		running.Go(func() { client.run(ctx) })
	}
	return crowd, func() {
		cancel()
		running.Wait()
	}
}

// settleStep is the time without a byte sent after which a crowd has done what it does.
const settleStep = 100 * time.Millisecond

// Settle waits until the clients send nothing more, or the time ends.
func (crowd *Crowd) Settle(limit time.Duration) {
	ticker := time.NewTicker(settleStep)
	defer ticker.Stop()
	for before, end := int64(-1), time.Now().Add(limit); time.Now().Before(end); {
		<-ticker.C
		after := crowd.moved.Load()
		if after == before {
			return
		}
		before = after
	}
}
