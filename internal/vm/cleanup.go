package vm

import (
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// cleanUp runs functions in the reverse order in which they were added. The zero value
// is ready to use.
type cleanUp struct {
	functions []func()
}

func (clean *cleanUp) add(function func()) {
	clean.functions = append(clean.functions, function)
}

func (clean *cleanUp) run() {
	for _, function := range slices.Backward(clean.functions) {
		function()
	}
	clean.functions = nil
}

func sortedVMs(vms []core.VMID) []core.VMID {
	slices.Sort(vms)
	return slices.Compact(vms)
}

func without(vms []core.VMID, vm core.VMID) []core.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(other core.VMID) bool { return other == vm })
}
