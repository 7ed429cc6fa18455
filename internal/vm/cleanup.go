package vm

import (
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// cleanUp is a stack of functions that run in the reverse order of their addition. The
// zero value is ready to use.
type cleanUp struct {
	functions []func()
}

func (cleanUp *cleanUp) add(function func()) {
	cleanUp.functions = append(cleanUp.functions, function)
}

func (cleanUp *cleanUp) run() {
	for _, function := range slices.Backward(cleanUp.functions) {
		function()
	}
	cleanUp.functions = nil
}

func sortedVMs(vms []core.VMID) []core.VMID {
	slices.Sort(vms)
	return slices.Compact(vms)
}

func withoutVM(vms []core.VMID, vm core.VMID) []core.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(other core.VMID) bool { return other == vm })
}
