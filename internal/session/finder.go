package session

import (
	"slices"
	"sync"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// leaderFinder selects the VM with a disk that probably leads shard 0.
type leaderFinder struct {
	diskVMs []core.VMID

	lock      sync.Mutex // leaf lock: no other lock is taken while it is held
	candidate core.VMID
}

// currentCandidate returns the VM to try as the leader. It is empty if there is no VM
// with a disk.
func (finder *leaderFinder) currentCandidate() core.VMID {
	finder.lock.Lock()
	defer finder.lock.Unlock()
	if finder.candidate == "" && len(finder.diskVMs) > 0 {
		finder.candidate = finder.diskVMs[0]
	}
	return finder.candidate
}

// selectNext selects the VM that follows vm in the list, unless another one was
// selected in the meantime.
func (finder *leaderFinder) selectNext(vm core.VMID) {
	finder.lock.Lock()
	defer finder.lock.Unlock()
	if finder.candidate == vm && len(finder.diskVMs) > 0 {
		finder.candidate = finder.diskVMs[(slices.Index(finder.diskVMs, vm)+1)%len(finder.diskVMs)]
	}
}

// redirect selects the VM that the answer of vm names as the leader. If the answer
// names none, vm itself or a VM without a disk, it selects the next one.
func (finder *leaderFinder) redirect(vm, leader core.VMID) {
	if leader == "" || leader == vm || !slices.Contains(finder.diskVMs, leader) {
		finder.selectNext(vm)
		return
	}
	finder.lock.Lock()
	defer finder.lock.Unlock()
	finder.candidate = leader
}
