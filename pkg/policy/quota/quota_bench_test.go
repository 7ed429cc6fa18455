package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// benchmarkWorkspaces returns workspaces with limits that no benchmark reaches.
func benchmarkWorkspaces(count int) []core.Workspace {
	workspaces := make([]core.Workspace, count)
	for i := range workspaces {
		workspaces[i] = core.Workspace{Workspace: core.WorkspaceID(fmt.Sprint("workspace-", i)), Quota: core.Quota{Rate: 1e9, Burst: 1e15}}
	}
	return workspaces
}

// attachedLease returns a grantor, and a lease of its only VM, whose share it counts.
func attachedLease(workspaces []core.Workspace) (*Grantor, *Lease, time.Duration) {
	now := time.Hour
	grantor := NewGrantor(now, 1, Shares{Number: 1, Shares: map[core.VMID]core.QuotaShare{"vm": core.WholeQuota}}, false)
	grantor.SetLimits(now, workspaces)
	lease := &Lease{}
	for range 4 {
		now += KeepAlive
		request := lease.Request(now, "vm", nil)
		lease.Answer(now, now, request, grantor.Grant(now, request))
	}
	return grantor, lease, now
}

// BenchmarkTake is the decision on a request whose tokens are held: at most 0.5 us, no allocation.
func BenchmarkTake(b *testing.B) {
	for _, count := range []int{16, 10_000} {
		b.Run(fmt.Sprint(count, " workspaces"), func(b *testing.B) {
			workspaces := benchmarkWorkspaces(count)
			grantor, lease, now := attachedLease(workspaces)
			for i := range workspaces {
				request := lease.Request(now, "vm", []Waiting{{Workspace: &workspaces[i], First: 1e8, Total: 1e8}})
				lease.Answer(now, now, request, grantor.Grant(now, request))
			}
			b.ReportAllocs()
			taken, at := 0, 0
			for b.Loop() {
				if decision, _ := lease.Take(now, &workspaces[at], 1); decision == Taken {
					taken++
				}
				lease.Low(now, workspaces[at].Workspace)
				at = (at + 1) % count
			}
			if taken < b.N {
				b.Fatalf("%d of %d were taken", taken, b.N)
			}
		})
	}
}

// BenchmarkGrant is the answer to a request with 4 wants, from one of many VMs.
func BenchmarkGrant(b *testing.B) {
	for _, vms := range []int{70, 420} {
		for _, count := range []int{16, 10_000} {
			b.Run(fmt.Sprint(vms, " VMs, ", count, " workspaces"), func(b *testing.B) {
				workspaces := benchmarkWorkspaces(count)
				shares := Shares{Number: 1, Shares: make(map[core.VMID]core.QuotaShare)}
				for i := range vms {
					shares.Shares[core.VMID(fmt.Sprint("vm-", i))] = core.WholeQuota / core.QuotaShare(vms)
				}
				now := time.Hour
				grantor := NewGrantor(now, 1, shares, false)
				grantor.SetLimits(now, workspaces)
				requests := make([]Request, vms)
				for i := range requests {
					requests[i] = Request{VM: core.VMID(fmt.Sprint("vm-", i)), Share: core.WholeQuota / core.QuotaShare(vms)}
					for j := range 4 {
						requests[i].Wants = append(requests[i].Wants, Want{Workspace: workspaces[(i*4+j)%count].Workspace, Min: 1, Waiting: 1, Ahead: 100})
					}
				}
				b.ReportAllocs()
				at := 0
				for b.Loop() {
					now += 100 * time.Microsecond
					requests[at].Answered = grantor.Grant(now, requests[at]).Stamp
					at = (at + 1) % vms
				}
			})
		}
	}
}
