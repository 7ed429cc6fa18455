package control

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quota"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// TestGrantNeedsLease guards against two control VMs that grant the same tokens: one that does not
// own the group, whose lease has ended, or whose former owner may still hold one, grants none.
func TestGrantNeedsLease(t *testing.T) {
	is := is.New(t)
	control := New(Options{VM: "c", Zone: "z", Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c", Zone: "z"}))
	now := clock.Now()
	request := &wire.QuotaRequest{Vm: "e"}
	routes := core.RouteTable{Number: 1, Workspaces: []core.Workspace{{Workspace: "w", Quota: core.Quota{Rate: 100, Burst: 100}}}}
	control.setLimits(now, routes)
	is.True(control.quotas.limited)
	control.leaseEnd = now + time.Hour
	is.True(control.grantQuotas(request).GetNotOwner()) // the group has no owner

	shares := quota.Shares{Number: 1, Shares: map[core.VMID]core.QuotaShare{"e": 7}}
	owner := ledger.Ownership{Group: core.QuotaGroup, VM: "c", Token: 1}
	control.setQuotaOwner(now, owner, shares)
	is.True(!control.grantQuotas(request).GetNotOwner())
	is.Equal(control.grantQuotas(request).GetShare(), uint32(7))

	control.leaseEnd = now
	is.True(control.grantQuotas(request).GetNotOwner())
	control.leaseEnd = now + time.Hour
	control.setQuotaOwner(now, ledger.Ownership{Group: core.QuotaGroup, VM: "d", Token: 2}, shares)
	is.True(control.grantQuotas(request).GetNotOwner())

	control.setQuotaOwner(now, ledger.Ownership{Group: core.QuotaGroup, VM: "c", Token: 3, Live: true}, shares)
	is.True(control.grantQuotas(request).GetNotOwner()) // the former owner may hold a lease
	control.quotas.grantsFrom -= leaseTime + leaseMargin
	is.True(!control.grantQuotas(request).GetNotOwner())
}

// TestProposeShares guards against a share that an entry VM is told of before it is recorded, and
// against shares that a VM without a lease records.
func TestProposeShares(t *testing.T) {
	is := is.New(t)
	control := New(Options{VM: "c", Zone: "z", Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "c", Zone: "z"}))
	now := clock.Now()
	owner := ledger.Ownership{Group: core.QuotaGroup, VM: "c", Token: 9}
	control.setQuotaOwner(now, owner, quota.Shares{})
	control.leaseEnd = now + time.Hour
	is.Equal(control.grantQuotas(&wire.QuotaRequest{Vm: "e"}).GetShare(), uint32(0))
	is.Equal(len(control.sharesDue), 1)
	put, ok := control.proposeShares(clock.Now())
	is.True(ok)
	is.Equal(put, ledger.PutQuotaShares{Token: 9, Shares: map[core.VMID]core.QuotaShare{"e": core.WholeQuota}})
	is.Equal(control.grantQuotas(&wire.QuotaRequest{Vm: "e"}).GetShare(), uint32(0))

	control.setQuotaOwner(now, owner, quota.Shares{Number: 4, Shares: put.Shares})
	is.Equal(control.grantQuotas(&wire.QuotaRequest{Vm: "e"}).GetShare(), uint32(core.WholeQuota))
	_, ok = control.proposeShares(clock.Now())
	is.True(!ok) // they are right
	control.leaseEnd = now
	control.grantQuotas(&wire.QuotaRequest{Vm: "f"})
	_, ok = control.proposeShares(clock.Now())
	is.True(!ok)
}
