package control

import (
	"context"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

const (
	// originFetchInterval is the time between two attempts of a control VM that has joined to
	// fetch the origins of streams.
	originFetchInterval = 500 * time.Millisecond
	// maxFetchedStreams bounds the streams in one answer, which stays below the size of a frame.
	// A control VM that cannot fetch them is complete once it has listened for long enough.
	maxFetchedStreams = 16384
)

// view returns the group of the control VMs, and the zero value while the replica of this VM has no
// leader: a VM that is cut off must not answer for a group that has changed.
func (control *Control) view() origin.View {
	if control.options.Host == nil {
		return origin.View{}
	}
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return origin.View{}
	}
	status := replica.Status()
	now := clock.Now()
	control.lock.Lock()
	defer control.lock.Unlock()
	if status.MembershipCommitted {
		members := slices.Concat(status.Membership.Voters, status.Membership.Learners)
		control.group.Set(now, uint64(status.MembershipIndex), vmsOf(members), vmsOf(status.Membership.Replaced))
	}
	if status.Leader.IsZero() {
		return origin.View{}
	}
	return control.group.View(now)
}

// vmsOf returns the VMs of replicas, each one once.
func vmsOf(replicas []raft.ReplicaID) []core.VMID {
	var vms []core.VMID
	for _, id := range replicas {
		if !slices.Contains(vms, id.VM) {
			vms = append(vms, id.VM)
		}
	}
	return vms
}

// hasAllOrigins reports whether this VM has every record of a send to another software version that
// a majority of the group has stored, unless the VM has stored it itself.
func (control *Control) hasAllOrigins() bool {
	if !control.origins.isRestored() {
		return false
	}
	control.lock.Lock()
	defer control.lock.Unlock()
	return control.versions.Complete(clock.Now())
}

// originRecords answers a control VM that has joined.
func (control *Control) originRecords(fetch *wire.OriginFetch) *wire.OriginRecords {
	view := control.view()
	// A record that this VM acknowledges after this answer states a group with the other VM.
	if !control.hasAllOrigins() || view.Number == 0 || view.Number < fetch.GetNumber() {
		return &wire.OriginRecords{}
	}
	now := clock.Now()
	streams, ok := control.origins.recent(now)
	if !ok {
		return &wire.OriginRecords{}
	}
	result := &wire.OriginRecords{Complete: true}
	for _, stream := range streams {
		result.Records = append(result.Records, &wire.OriginRecord{
			Request: string(stream.Request), Service: string(stream.Origin.Service), Software: string(stream.Origin.Software), Send: uint32(stream.Origin.Send),
		})
	}
	control.lock.Lock()
	defer control.lock.Unlock()
	for _, heard := range control.versions.Recent(now) {
		result.Versions = append(result.Versions, &wire.VersionRecord{
			Service: string(heard.Service), Software: string(heard.Software), AgeMillis: uint64(heard.Age.Milliseconds()),
		})
	}
	return result
}

// completeOrigins lets a control VM that has joined the group, or has lost its disk, fetch what the
// others know of the origins of streams. It returns once the VM has them, at the latest when it has
// listened for long enough by itself, or when the context ends.
func (control *Control) completeOrigins(ctx context.Context) {
	ticker := time.NewTicker(originFetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if control.hasAllOrigins() || control.origins.isRestored() && control.fetchOrigins(ctx, control.view()) {
			return
		}
	}
}

// fetchOrigins asks all other members of the group for their origins. It returns true if a majority
// of them is complete: each record that a majority of the group has stored without this VM is held by
// one of these. It returns false if this VM is no member.
func (control *Control) fetchOrigins(ctx context.Context, view origin.View) bool {
	if !view.Contains(control.options.VM) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, originFetchInterval)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(view.VMs), func(vm core.VMID) bool { return vm == control.options.VM })
	answers := make(chan *wire.OriginRecords, len(others))
	for _, vm := range others {
		go func() {
			response, err := control.options.Calls.Call(ctx, vm, &wire.Request{Body: &wire.Request_OriginFetch{OriginFetch: &wire.OriginFetch{Number: view.Number}}})
			if err != nil {
				control.options.Logger.Debug("The origins of streams were not fetched.", "control", vm, "error", err)
			}
			answers <- response.GetOriginRecords()
		}()
	}
	var complete []*wire.OriginRecords
	for range others {
		if answer := <-answers; answer.GetComplete() {
			complete = append(complete, answer)
		}
	}
	if len(others) == 0 || len(complete) < core.Majority(len(others)) {
		return false
	}
	for _, answer := range complete {
		control.adoptOrigins(answer)
	}
	control.lock.Lock()
	defer control.lock.Unlock()
	control.versions.CompleteFrom = clock.Now()
	control.options.Logger.Info("The origins of streams were fetched from the other control VMs.", "answers", len(complete), "group", view.Number)
	return true
}

// adoptOrigins adds what another control VM knows of the origins of streams.
func (control *Control) adoptOrigins(records *wire.OriginRecords) {
	now := clock.Now()
	for _, record := range records.GetRecords() {
		control.origins.adopt(now, core.RequestID(record.GetRequest()), origin.Origin{
			Service: core.ServiceID(record.GetService()), Software: core.SoftwareVersion(record.GetSoftware()), Send: int(record.GetSend()),
		})
	}
	control.lock.Lock()
	defer control.lock.Unlock()
	for _, version := range records.GetVersions() {
		age := time.Duration(version.GetAgeMillis()) * time.Millisecond
		control.versions.Note(now-age, core.ServiceID(version.GetService()), core.SoftwareVersion(version.GetSoftware()))
	}
}
