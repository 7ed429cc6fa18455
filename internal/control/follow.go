package control

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// followPause is the pause before a control VM that could not be reached is asked again.
const followPause = 500 * time.Millisecond

// followOthers learns of the upstreams that announce themselves to other control VMs: the
// owner of a zone's engines must know those that talk to another one.
func (control *Control) followOthers(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	followed := map[core.VMID]bool{control.parts.VM: true}
	ticker := time.NewTicker(followPause)
	defer ticker.Stop()
	var recorders []Peer
	for {
		recorders = control.setRecordMembers(recorders)
		for _, vm := range control.peers.withSeeds() {
			if !followed[vm] {
				followed[vm] = true
				running.Go(func() { control.follow(ctx, vm) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (control *Control) follow(ctx context.Context, vm core.VMID) {
	request := &wire.Request{Body: &wire.Request_Watch{Watch: &wire.Watch{
		Vm: string(control.parts.VM), Zone: string(control.parts.Zone), Control: true,
	}}}
	for ctx.Err() == nil {
		err := control.parts.Calls.Stream(ctx, vm, request, func(response *wire.Response) bool {
			control.take(response.GetWatchEvent())
			return true
		})
		control.parts.Logger.Debug("The watch of a control VM ended.", "control", vm, "error", err)
		timer := time.NewTimer(followPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (control *Control) take(event *wire.WatchEvent) {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	for _, message := range event.GetInstances() {
		control.merge(now, peer.Instance(message))
	}
}
