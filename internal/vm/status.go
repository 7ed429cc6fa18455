package vm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/dispatch"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// confirmTimeout limits the wait for VMs that have not confirmed a change. Every
	// reachable VM applies a change within 2 s.
	confirmTimeout = 2 * time.Second
	// infoTimeout limits a request for the state of another VM.
	infoTimeout = time.Second
)

// infoHandler answers requests for the state of this VM.
type infoHandler struct {
	vm *vm
}

// answer returns the state of this VM. If the request names a configuration number, it
// first waits until the VM has that configuration, for at most the requested time.
func (handler infoHandler) answer(ctx context.Context, request *wire.VmInfo) *wire.VmInfoResult {
	if request.AwaitNumber > 0 {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMillis)*time.Millisecond)
		_ = handler.vm.session.WaitForConfig(ctx, core.ConfigNumber(request.AwaitNumber))
		cancel()
	}
	result := &wire.VmInfoResult{
		ConfigNumber: uint64(handler.vm.session.Index().Number()),
		AgeMillis:    handler.vm.session.ConfigAge().Milliseconds(),
		Draining:     !handler.vm.ready.Load(),
	}
	result.Replica = handler.replica()
	now := clock.Time()
	for _, announced := range handler.vm.owner.Announcements(now) {
		result.Upstreams = append(result.Upstreams, upstreamInfo(announced, now))
	}
	return result
}

// replica returns the role of this VM's replicas, or an empty string without a disk. A
// voter that has not yet copied the audit records of the other disk VMs is reported as
// restoring, since it is not a full copy.
func (handler infoHandler) replica() string {
	if handler.vm.storage.host == nil {
		return ""
	}
	role := handler.vm.storage.host.Role()
	if role == host.RoleVoter && !handler.vm.storage.restorer.Done() {
		return "restoring"
	}
	return string(role)
}

// status reports the state of the deployment as known to this VM.
type status struct {
	vm *vm
}

// Status queries every VM for its state. A VM that does not answer within infoTimeout is
// reported as unreachable.
func (status status) Status(ctx context.Context) operator.Status {
	vm := status.vm
	index := vm.session.Index()
	result := operator.Status{
		VM:         vm.settings.VM,
		Zone:       vm.settings.Zone,
		Number:     index.Number(),
		Hash:       index.Hash(),
		AgeSeconds: vm.session.ConfigAge().Seconds(),
		Owners:     status.owners(),
	}
	if vm.storage.archive.replica != nil {
		result.Leader = vm.storage.archive.replica.Leader()
	}
	answers := status.queryAll(ctx, &wire.VmInfo{}, infoTimeout)
	for _, member := range vm.settings.Members() {
		answer := answers[member.VM]
		result.VMs = append(result.VMs, operator.VMStatus{
			VM:         member.VM,
			Zone:       member.Zone,
			Disk:       member.Disk,
			Reachable:  answer != nil,
			Draining:   answer.GetDraining(),
			Replica:    answer.GetReplica(),
			Number:     core.ConfigNumber(answer.GetConfigNumber()),
			AgeSeconds: (time.Duration(answer.GetAgeMillis()) * time.Millisecond).Seconds(),
		})
		for _, upstream := range answer.GetUpstreams() {
			result.Upstreams = append(result.Upstreams, upstreamStatus(upstream))
		}
	}
	return result
}

func (status status) owners() []operator.OwnerStatus {
	var owners []operator.OwnerStatus
	for _, owned := range status.vm.session.Owners() {
		entry := operator.OwnerStatus{Group: owned.Group.String(), VM: owned.VM, Token: owned.Token}
		if token, until, held := status.vm.session.Lease(owned.Group); held {
			entry.Token, entry.LeaseMillis = token, time.Until(until).Milliseconds()
		}
		owners = append(owners, entry)
	}
	return owners
}

// Unconfirmed waits until every VM has the configuration number, the wait times out or
// the context ends. It returns the zones with a VM that has not confirmed the number,
// sorted and without duplicates.
func (status status) Unconfirmed(ctx context.Context, number core.ConfigNumber) []core.ZoneID {
	request := &wire.VmInfo{AwaitNumber: uint64(number), WaitMillis: confirmTimeout.Milliseconds()}
	answers := status.queryAll(ctx, request, confirmTimeout+infoTimeout)
	var zones []core.ZoneID
	for _, member := range status.vm.settings.Members() {
		if answers[member.VM].GetConfigNumber() < uint64(number) {
			zones = append(zones, member.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// queryAll queries all VMs concurrently. The result has no entry for a VM that does not
// answer within the timeout.
func (status status) queryAll(ctx context.Context, request *wire.VmInfo, timeout time.Duration) map[core.VMID]*wire.VmInfoResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mutex sync.Mutex
	answers := make(map[core.VMID]*wire.VmInfoResult)
	var queries sync.WaitGroup
	for _, member := range status.vm.settings.Members() {
		queries.Go(func() {
			answer := status.query(ctx, member.VM, request)
			mutex.Lock()
			defer mutex.Unlock()
			if answer != nil {
				answers[member.VM] = answer
			}
		})
	}
	queries.Wait()
	return answers
}

func (status status) query(ctx context.Context, vm core.VMID, request *wire.VmInfo) *wire.VmInfoResult {
	if vm == status.vm.settings.VM {
		return infoHandler(status).answer(ctx, request)
	}
	response, err := status.vm.client.Call(ctx, vm, &wire.Request{Body: &wire.Request_VmInfo{VmInfo: request}})
	if err != nil {
		return nil
	}
	return response.GetVmInfoResult()
}

func upstreamInfo(announced dispatch.Announced, now time.Time) *wire.UpstreamInfo {
	message := &wire.UpstreamInfo{
		Upstream:    string(announced.Upstream),
		Group:       announced.Group.String(),
		Address:     announced.Address,
		Leaving:     announced.Leaving,
		Running:     int32(announced.Running),
		Queued:      int32(announced.Queued),
		LeaseMillis: max(0, core.AnnouncementLease-now.Sub(announced.At)).Milliseconds(),
	}
	for _, resident := range announced.Resident {
		message.Resident = append(message.Resident, resident.String())
	}
	return message
}

func upstreamStatus(message *wire.UpstreamInfo) operator.UpstreamStatus {
	return operator.UpstreamStatus{
		Upstream:    core.UpstreamID(message.Upstream),
		Group:       message.Group,
		Address:     message.Address,
		Leaving:     message.Leaving,
		Running:     int(message.Running),
		Queued:      int(message.Queued),
		Resident:    message.Resident,
		LeaseMillis: message.LeaseMillis,
	}
}
