package vm

import (
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// schedulerConfig returns the settings of the groups that this VM may own. Until the
// leader hands out shares, every zone may use an equal part of the store's limit.
func (vm *vm) schedulerConfig() scheduler.Config {
	zones := countZones(vm.settings)
	return scheduler.Config{
		Batching: batching.Setting{StallWeight: vm.settings.StallWeight},
		Budget: budget.Share{
			PerSecond:  vm.settings.StoreLoadsPerSecond / core.LoadsPerSecond(zones),
			Concurrent: max(1, vm.settings.StoreTransits/zones),
			Transits:   max(1, vm.settings.StoreTransitLimit/zones),
			LoadTime:   vm.settings.AdapterLoadMillis.Duration(),
		},
	}
}

func countZones(settings settings.Settings) int {
	zones := map[core.ZoneID]bool{settings.Zone: true}
	for _, member := range settings.Peers {
		zones[member.Zone] = true
	}
	return len(zones)
}
