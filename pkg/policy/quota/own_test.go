package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestOwnBucketAfterQuietTime guards against VMs that refuse all requests at first when they lose
// the grantor, since their own buckets were never filled, and against a bucket that is full twice
// within the 8 s of the limit.
func TestOwnBucketAfterQuietTime(t *testing.T) {
	is := is.New(t)
	workspace := &core.Workspace{Workspace: "w", Quota: core.Quota{Rate: 1000, Burst: 100_000}}
	lease := &Lease{}
	lease.SetLimits(0, []core.Workspace{*workspace})
	lease.share = core.WholeQuota / 4
	full := core.Tokens(lease.ownLimit(workspace.Quota))
	take := func(now time.Duration, tokens core.Tokens) bool {
		_, ok := lease.TakeOwn(now, workspace, tokens)
		return ok
	}
	is.True(!take(time.Second, full)) // the process before may have used its bucket
	is.True(take(ownRefillTime, full))
	is.True(!take(ownRefillTime+time.Second, full))
	is.True(!take(2*ownRefillTime-time.Millisecond, full))
	is.True(take(2*ownRefillTime, full))
	lease.SetLimits(2*ownRefillTime, nil)
	lease.SetLimits(2*ownRefillTime, []core.Workspace{*workspace})
	is.True(!take(2*ownRefillTime+time.Second, full)) // a limit that was removed and set again
}

// TestOwnBucketOfLargerShare guards against a share whose own buckets were used by one VM and are full
// again at once at the VM that gets the share.
func TestOwnBucketOfLargerShare(t *testing.T) {
	is := is.New(t)
	workspace := &core.Workspace{Workspace: "w", Quota: core.Quota{Rate: 1000, Burst: 100_000}}
	lease := &Lease{}
	lease.SetLimits(0, []core.Workspace{*workspace})
	answer := func(now time.Duration, share core.QuotaShare) {
		request := lease.Request(now, "a", nil)
		is.True(lease.Answer(now, now, request, Result{Stamp: Stamp{Token: 1, At: now}, Share: share}))
	}
	answer(time.Second, 0)
	const given = 20 * time.Second
	answer(given, core.WholeQuota/2)
	full := core.Tokens(lease.ownLimit(workspace.Quota))
	_, ok := lease.TakeOwn(given, workspace, full)
	is.True(!ok)
	_, ok = lease.TakeOwn(given+ownRefillTime, workspace, full)
	is.True(ok)
}
