package vm

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/internal/session"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
)

func (vm *vm) newSession() *session.Session {
	options := session.Options{
		Self:     lease.Member{VM: vm.settings.VM, Incarnation: vm.self.Incarnation},
		Zone:     vm.settings.Zone,
		DiskVMs:  diskVMs(vm.settings),
		Budget:   vm.storeBudget(),
		Caller:   vm.client,
		Jobs:     vm.workers,
		Reporter: vm.storage.commands,
		Logger:   vm.loggers.Logger("session"),
	}
	for _, member := range vm.settings.Others() {
		if member.Zone == vm.settings.Zone {
			options.ZoneVMs = append(options.ZoneVMs, member.VM)
		}
	}
	if vm.storage.archive.replica != nil {
		options.Replica = vm.storage.archive.replica
	}
	return session.New(options)
}

// storeBudget returns the limit of the weight store, which the leader divides among VMs.
func (vm *vm) storeBudget() lease.Budget {
	return lease.Budget{
		Loads:         vm.settings.StoreLoadsPerSecond,
		Transit:       vm.settings.StoreTransitLimit,
		Zones:         countZones(vm.settings),
		GroupsPerZone: vm.settings.ModelsPerZone,
	}
}

// startBackground starts the background goroutines, which run until the context ends.
func (vm *vm) startBackground(ctx context.Context) {
	go vm.session.Run(ctx)
	go vm.runShareUpdates(ctx)
	if vm.storage.restorer != nil {
		go vm.storage.restorer.Run(ctx)
	}
}

// shareInterval is the time between two updates of the groups' shares. The leader counts
// a share as used until lease.Margin after its end, which covers a group's copy that is
// out of date by up to this interval.
const shareInterval = lease.Margin / 4

// runShareUpdates periodically divides this VM's share of the store limit among its
// groups, until the context ends.
func (vm *vm) runShareUpdates(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			vm.updateShares()
		}
	}
}

func (vm *vm) updateShares() {
	var held []core.GroupID
	for _, group := range vm.owner.Groups() {
		if _, _, ok := vm.session.Lease(group); ok && group.Kind == core.EngineGroup {
			held = append(held, group)
		}
	}
	if len(held) == 0 {
		return
	}
	share := vm.groupShare(vm.session.Share(), len(held))
	for _, group := range held {
		vm.owner.SetBudget(group, share)
	}
}

// groupShare returns the part of this VM's share that each of count groups receives. The
// number of concurrent loads at full speed is proportional to the number of loads in
// transit. A share that allows no load in transit allows no load at all, which keeps the
// sum of all shares within the store limit.
func (vm *vm) groupShare(share lease.Share, count int) budget.Share {
	inTransit := share.Transit / count
	if inTransit == 0 {
		return budget.Share{}
	}
	return budget.Share{
		PerSecond:  share.Loads / core.LoadsPerSecond(count),
		Concurrent: max(1, vm.settings.StoreTransits*inTransit/max(1, vm.settings.StoreTransitLimit)),
		Transits:   inTransit,
		LoadTime:   vm.settings.AdapterLoadMillis.Duration(),
	}
}
