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
	parts := session.Parts{
		Self:     lease.Member{VM: vm.settings.VM, Incarnation: vm.self.Incarnation},
		Zone:     vm.settings.Zone,
		DiskVMs:  diskVMs(vm.settings),
		Budget:   vm.storeBudget(),
		Caller:   vm.client,
		Jobs:     vm.jobs,
		Reporter: vm.durable.commands,
		Logger:   vm.logs.Part("session"),
	}
	for _, member := range vm.settings.Others() {
		if member.Zone == vm.settings.Zone {
			parts.ZoneVMs = append(parts.ZoneVMs, member.VM)
		}
	}
	if vm.durable.archive.replica != nil {
		parts.Replica = vm.durable.archive.replica
	}
	return session.New(parts)
}

// storeBudget is the limit of the weight store that the leader divides.
func (vm *vm) storeBudget() lease.Budget {
	return lease.Budget{
		Loads:         vm.settings.StoreLoadsPerSecond,
		Transit:       vm.settings.StoreTransitLimit,
		Zones:         countZones(vm.settings),
		GroupsPerZone: vm.settings.ModelsPerZone,
	}
}

// background starts the work that goes on beside requests, until the context ends.
func (vm *vm) background(ctx context.Context) {
	go vm.session.Run(ctx)
	go vm.followShares(ctx)
	if vm.durable.restorer != nil {
		go vm.durable.restorer.Run(ctx)
	}
}

// shareInterval is the time between two looks at the share. The leader counts a share
// as used for lease.Margin after its end, and a copy of it may be older by this time.
const shareInterval = lease.Margin / 4

// followShares gives the groups of this VM its share of the store's limit.
func (vm *vm) followShares(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			vm.setShares()
		}
	}
}

func (vm *vm) setShares() {
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

// groupShare is the part of one of count groups in the share of this VM. The loads at
// full speed are in proportion to the loads in transit. A share without a transit allows
// no load, so that the sum of all shares stays within the store's limit.
func (vm *vm) groupShare(share lease.Share, count int) budget.Share {
	transits := share.Transit / count
	if transits == 0 {
		return budget.Share{}
	}
	return budget.Share{
		PerSecond:  share.Loads / core.LoadsPerSecond(count),
		Concurrent: max(1, vm.settings.StoreTransits*transits/max(1, vm.settings.StoreTransitLimit)),
		Transits:   transits,
		LoadTime:   vm.settings.AdapterLoadMillis.Duration(),
	}
}
