package handover

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// maxOffers bounds the targets in the own zone, and those in other zones, that one VM knows.
// Each VM knows different ones. If 60% of all VMs reach no upstream, all eight of the other
// zones do so in 2 of 100 cases, and a VM that knows none refuses its requests as before.
const maxOffers = 8

// Offer returns the targets that a VM is to know of all those of the deployment, in an order that
// does not depend on that of all.
func Offer(to Target, all []Target) []Target {
	var local, remote []Target
	for _, target := range all {
		switch {
		case target.VM == to.VM:
		case target.Zone == to.Zone:
			local = append(local, target)
		default:
			remote = append(remote, target)
		}
	}
	return append(nearest(to.VM, local), nearest(to.VM, remote)...)
}

// nearest returns at most maxOffers of the targets, by rendezvous hashing with a VM.
func nearest(vm core.VMID, targets []Target) []Target {
	slices.SortFunc(targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(score(vm, a), score(vm, b)), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Address, b.Address))
	})
	targets = slices.Compact(targets)
	return targets[:min(len(targets), maxOffers)]
}

func score(vm core.VMID, target Target) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(target.VM))
	sum := hash.Sum64()
	sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd // FNV mixes the last byte little
	return sum ^ sum>>33
}
