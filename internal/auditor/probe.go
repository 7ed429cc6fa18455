package auditor

import (
	"slices"
	"sync"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// available returns the members that are not marked as failed.
func (auditor *Auditor) available(members []Member) []Member {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	var result []Member
	for _, member := range members {
		if !auditor.failedVMs[member.VM] {
			result = append(result, member)
		}
	}
	return result
}

// markFailed excludes a VM from delivery until a probe of it succeeds or SetMembers removes
// it from the deployment.
func (auditor *Auditor) markFailed(vm core.VMID, err error) {
	auditor.mutex.Lock()
	known := auditor.failedVMs[vm]
	auditor.failedVMs[vm] = true
	auditor.mutex.Unlock()
	if !known {
		auditor.options.Logger.Warn("Audit records not taken.", "vm", vm, "error", err)
	}
	wake(auditor.wakeProbe)
}

// probeFailed sends an empty batch to the failed VMs, or to the own disk, once every
// retryInterval, so that no record waits for the timeout of a VM that still does not
// respond.
func (auditor *Auditor) probeFailed() {
	for {
		failed := auditor.failed()
		if len(failed) == 0 {
			if !auditor.waitFor(auditor.wakeProbe, 0) {
				return
			}
			continue
		}
		if !auditor.waitFor(nil, retryInterval) {
			return
		}
		var probes sync.WaitGroup
		for _, vm := range failed {
			probes.Go(func() { auditor.probeVM(vm) })
		}
		probes.Wait()
	}
}

// failed returns the failed VMs in order.
func (auditor *Auditor) failed() []core.VMID {
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	var result []core.VMID
	for vm := range auditor.failedVMs {
		result = append(result, vm)
	}
	slices.Sort(result)
	return result
}

func (auditor *Auditor) probeVM(vm core.VMID) {
	if vm == auditor.options.Self.VM {
		if auditor.appendLocal(nil) != nil {
			return
		}
	} else if _, err := auditor.sendBatch(vm, nil, false); err != nil {
		return
	}
	auditor.mutex.Lock()
	delete(auditor.failedVMs, vm)
	auditor.mutex.Unlock()
	auditor.options.Logger.Info("VM accepts audit records again.", "vm", vm)
	wake(auditor.wakeQueue)
	wake(auditor.wakeCopy)
}
