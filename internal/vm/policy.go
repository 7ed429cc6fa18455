package vm

import (
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// schedulerConfig returns the configuration of the groups' schedulers. Each group starts
// with the minimum share of the weight store's limit.
func (vm *vm) schedulerConfig() scheduler.Config {
	return scheduler.Config{
		Batching: batching.Setting{StallWeight: vm.settings.StallWeight},
		Budget:   vm.groupShare(vm.storeBudget().MinimumShare(), 1),
	}
}

func countZones(settings settings.Settings) int {
	zones := make(map[core.ZoneID]bool)
	for _, member := range settings.Members() {
		zones[member.Zone] = true
	}
	return len(zones)
}
