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

// watchRetryDelay is the delay before the watch of a control VM is opened again, and the
// interval at which new control VMs are looked for.
const watchRetryDelay = 500 * time.Millisecond

// watchPeers watches all other control VMs until the context ends: the owner of a zone's
// engines must know those that announce themselves to another control VM. It also keeps the
// members of the audit log up to date.
func (control *Control) watchPeers(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	watched := map[core.VMID]bool{control.options.VM: true}
	ticker := time.NewTicker(watchRetryDelay)
	defer ticker.Stop()
	var auditPeers []Peer
	for {
		auditPeers = control.updateAuditMembers(auditPeers)
		for _, vm := range control.peers.withSeeds() {
			if !watched[vm] {
				watched[vm] = true
				running.Go(func() { control.watchPeer(ctx, vm) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// watchPeer receives the upstreams that another control VM knows, until the context ends.
func (control *Control) watchPeer(ctx context.Context, vm core.VMID) {
	request := &wire.Request{Body: &wire.Request_Watch{Watch: &wire.Watch{
		Vm: string(control.options.VM), Zone: string(control.options.Zone), Control: true,
	}}}
	for ctx.Err() == nil {
		err := control.options.Calls.Stream(ctx, vm, request, func(response *wire.Response) bool {
			control.applyWatchEvent(response.GetWatchEvent())
			return true
		})
		control.options.Logger.Debug("The watch of a control VM ended.", "control", vm, "error", err)
		timer := time.NewTimer(watchRetryDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// applyWatchEvent merges the upstreams and the verdicts of an event into the known ones.
func (control *Control) applyWatchEvent(event *wire.WatchEvent) {
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	for _, message := range event.GetInstances() {
		instance := peer.InstanceFromMessage(message)
		if faults := instance.Check(); len(faults) > 0 {
			control.options.Logger.Warn("An upstream of another control VM is ignored.", "upstream", instance.Upstream, "error", faults[0])
			continue
		}
		control.merge(now, instance)
	}
	control.mergeVerdicts(now, event.GetVerdicts())
}
