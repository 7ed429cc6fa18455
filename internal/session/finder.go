package session

import (
	"slices"
	"sync"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// finder finds the leader among the VMs with a disk.
type finder struct {
	disks []core.VMID

	lock   sync.Mutex // a leaf: nothing else is locked while it is held
	chosen core.VMID
}

// target returns the VM that is believed to lead.
func (finder *finder) target() core.VMID {
	finder.lock.Lock()
	defer finder.lock.Unlock()
	if finder.chosen == "" && len(finder.disks) > 0 {
		finder.chosen = finder.disks[0]
	}
	return finder.chosen
}

// failed turns to the next VM after one that did not answer.
func (finder *finder) failed(vm core.VMID) {
	finder.lock.Lock()
	defer finder.lock.Unlock()
	if finder.chosen == vm && len(finder.disks) > 0 {
		finder.chosen = finder.disks[(slices.Index(finder.disks, vm)+1)%len(finder.disks)]
	}
}

// redirected turns to the VM that the answer names as the leader. Without a name, or
// with that of the VM that answered, it turns to the next one.
func (finder *finder) redirected(vm, leader core.VMID) {
	if leader == "" || leader == vm || !slices.Contains(finder.disks, leader) {
		finder.failed(vm)
		return
	}
	finder.lock.Lock()
	defer finder.lock.Unlock()
	finder.chosen = leader
}
