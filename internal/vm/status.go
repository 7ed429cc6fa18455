package vm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/dispatch"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// confirmTimeout bounds the wait for the VMs that have not confirmed a change. A
	// change is in force within 2 s on every VM that can be reached.
	confirmTimeout = 2 * time.Second
	// infoTimeout bounds a question about the state of another VM.
	infoTimeout = time.Second
)

// info answers questions about this VM.
type info struct {
	vm *vm
}

// answer waits until the VM has the configuration number that the question names.
func (info info) answer(ctx context.Context, question *wire.VmInfo) *wire.VmInfoResult {
	if question.AwaitNumber > 0 {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(question.WaitMillis)*time.Millisecond)
		_ = info.vm.session.Await(ctx, core.ConfigNumber(question.AwaitNumber))
		cancel()
	}
	result := &wire.VmInfoResult{
		ConfigNumber: uint64(info.vm.session.Book().Number()),
		AgeMillis:    info.vm.session.ConfigAge().Milliseconds(),
		Draining:     !info.vm.ready.Load(),
	}
	result.Replica = info.replica()
	now := time.Now()
	for _, announced := range info.vm.owner.Announced(now) {
		result.Upstreams = append(result.Upstreams, upstreamInfo(announced, now))
	}
	return result
}

// replica tells what the replicas of this VM do. A VM that votes but does not hold the
// audit records of the other disks yet is no full copy.
func (info info) replica() string {
	if info.vm.durable.host == nil {
		return ""
	}
	part := info.vm.durable.host.Part()
	if part == host.PartVoter && !info.vm.durable.restorer.Done() {
		return "restoring"
	}
	return string(part)
}

// status describes the deployment as this VM sees it.
type status struct {
	vm *vm
}

// Status asks every VM for its state.
func (status status) Status(ctx context.Context) operator.Status {
	vm := status.vm
	book := vm.session.Book()
	result := operator.Status{
		VM:         vm.settings.VM,
		Zone:       vm.settings.Zone,
		Number:     book.Number(),
		Hash:       book.Hash(),
		AgeSeconds: vm.session.ConfigAge().Seconds(),
		Owners:     status.owners(),
	}
	if vm.durable.archive.replica != nil {
		result.Leader = vm.durable.archive.replica.Leader()
	}
	answers := status.ask(ctx, &wire.VmInfo{}, infoTimeout)
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

// Unconfirmed waits until every zone has the number or the context ends, and returns
// the zones with a VM that has not confirmed it.
func (status status) Unconfirmed(ctx context.Context, number core.ConfigNumber) []core.ZoneID {
	question := &wire.VmInfo{AwaitNumber: uint64(number), WaitMillis: confirmTimeout.Milliseconds()}
	answers := status.ask(ctx, question, confirmTimeout+infoTimeout)
	var zones []core.ZoneID
	for _, member := range status.vm.settings.Members() {
		if answers[member.VM].GetConfigNumber() < uint64(number) {
			zones = append(zones, member.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// ask asks every VM at the same time. A VM that does not answer in time is missing in
// the result.
func (status status) ask(ctx context.Context, question *wire.VmInfo, timeout time.Duration) map[core.VMID]*wire.VmInfoResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mutex sync.Mutex
	answers := make(map[core.VMID]*wire.VmInfoResult)
	var asking sync.WaitGroup
	for _, member := range status.vm.settings.Members() {
		asking.Go(func() {
			answer := status.askOne(ctx, member.VM, question)
			mutex.Lock()
			defer mutex.Unlock()
			if answer != nil {
				answers[member.VM] = answer
			}
		})
	}
	asking.Wait()
	return answers
}

func (status status) askOne(ctx context.Context, vm core.VMID, question *wire.VmInfo) *wire.VmInfoResult {
	if vm == status.vm.settings.VM {
		return info(status).answer(ctx, question)
	}
	response, err := status.vm.client.Call(ctx, vm, &wire.Request{Body: &wire.Request_VmInfo{VmInfo: question}})
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
