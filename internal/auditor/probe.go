package auditor

import (
	"slices"
	"sync"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// usable returns the members that have not failed since they were last probed.
func (auditor *Auditor) usable(members []Member) []Member {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	var result []Member
	for _, member := range members {
		if !auditor.failed[member.VM] {
			result = append(result, member)
		}
	}
	return result
}

// fail passes a VM over until a probe reaches it.
func (auditor *Auditor) fail(vm core.VMID, err error) {
	auditor.mutex.Lock()
	known := auditor.failed[vm]
	auditor.failed[vm] = true
	auditor.mutex.Unlock()
	if !known {
		auditor.options.Logger.Warn("Audit records not taken.", "vm", vm, "error", err)
	}
	wake(auditor.wakeProbe)
}

// probe asks the VMs that failed with an empty batch, so that no record waits for
// the timeout of a VM that is still silent.
func (auditor *Auditor) probe() {
	for {
		failed := auditor.failedOthers()
		if len(failed) == 0 {
			if !auditor.await(auditor.wakeProbe, 0) {
				return
			}
			continue
		}
		if !auditor.await(nil, retryAfter) {
			return
		}
		var probes sync.WaitGroup
		for _, vm := range failed {
			probes.Go(func() { auditor.probeOne(vm) })
		}
		probes.Wait()
	}
}

// failedOthers leaves this VM out: a writer that failed stays failed.
func (auditor *Auditor) failedOthers() []core.VMID {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	var result []core.VMID
	for vm := range auditor.failed {
		if vm != auditor.options.Self.VM {
			result = append(result, vm)
		}
	}
	slices.Sort(result)
	return result
}

func (auditor *Auditor) probeOne(vm core.VMID) {
	if _, err := auditor.ask(vm, nil, false); err != nil {
		return
	}
	auditor.mutex.Lock()
	delete(auditor.failed, vm)
	auditor.mutex.Unlock()
	auditor.options.Logger.Info("Audit records are taken again.", "vm", vm)
	wake(auditor.wakeShip)
	wake(auditor.wakeCopy)
}
