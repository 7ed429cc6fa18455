package fleet

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quota"
)

// quotaControl is a control VM that grants quotas and records each share at once.
type quotaControl struct {
	silentOwners
	delay time.Duration

	lock     sync.Mutex // no other lock is acquired while it is held
	grantor  *quota.Grantor
	shares   quota.Shares
	messages []*wire.QuotaRequest
	inFlight int
	most     int
	silent   bool
}

func newQuotaControl(workspaces []core.Workspace) *quotaControl {
	control := &quotaControl{grantor: quota.NewGrantor(clock.Now(), 1, quota.Shares{}, false)}
	control.grantor.SetLimits(clock.Now(), workspaces)
	return control
}

func (control *quotaControl) Call(ctx context.Context, _ core.VMID, request *wire.Request) (*wire.Response, error) {
	message := request.GetQuotaRequest()
	if message == nil {
		return nil, errors.New("unexpected request in this test")
	}
	control.lock.Lock()
	control.messages = append(control.messages, message)
	control.inFlight++
	control.most = max(control.most, control.inFlight)
	silent := control.silent
	control.lock.Unlock()
	defer func() {
		control.lock.Lock()
		defer control.lock.Unlock()
		control.inFlight--
	}()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(control.delay)
	control.lock.Lock()
	defer control.lock.Unlock()
	now := clock.Now()
	result := control.grantor.Grant(now, peer.QuotaRequestFromMessage(message))
	if shares, ok := control.grantor.Propose(now); ok {
		control.shares = quota.Shares{Number: control.shares.Number + 1, Shares: shares.Shares}
		control.grantor.SetShares(now, control.shares)
	}
	return &wire.Response{Body: &wire.Response_QuotaResult{QuotaResult: peer.QuotaResultMessage(result)}}, nil
}

// sent returns the number of requests for tokens so far.
func (control *quotaControl) sent() int {
	control.lock.Lock()
	defer control.lock.Unlock()
	return len(control.messages)
}

func (control *quotaControl) silence() {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.silent = true
}

// limitedWorkspace returns a workspace with a rate and a burst of a second.
func limitedWorkspace(name string, rate int) core.Workspace {
	return core.Workspace{Workspace: core.WorkspaceID(name), Quota: core.Quota{Rate: core.TokensPerSecond(rate), Burst: core.Tokens(rate)}}
}

// followQuotas returns a follower whose quotas the control VM grants, and a function that stops it.
func followQuotas(control caller, workspaces []core.Workspace) (*Follower, func()) {
	table := NewTable("z")
	table.SetQuotaOwner(Owner{VM: "c", Token: 1})
	follower, stop := Follow(Options{VM: "entry", Zone: "z", Table: table, Calls: control, Logger: log.New(io.Discard)})
	follower.setLimits(core.RouteTable{Number: 1, Workspaces: workspaces})
	return follower, stop
}

// awaitAttached waits until the control VM counts the share of the follower.
func awaitAttached(t *testing.T, control *quotaControl) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		control.lock.Lock()
		attached, _ := control.grantor.Attached(clock.Now())
		control.lock.Unlock()
		if attached > 0 {
			return
		}
	}
	t.Fatal("the follower was not attached in 5 s")
}

// TestTakeTogether guards against requests of many callers at once that are not merged into one
// request for tokens at a time, that are granted more than the limit, or that race.
func TestTakeTogether(t *testing.T) {
	is := is.New(t)
	workspaces := []core.Workspace{limitedWorkspace("a", 100_000), limitedWorkspace("b", 100_000)}
	control := newQuotaControl(workspaces)
	control.delay = 5 * time.Millisecond
	follower, stop := followQuotas(control, workspaces)
	defer stop()
	awaitAttached(t, control)
	time.Sleep(300 * time.Millisecond) // the buckets fill
	before := control.sent()
	const callers, each, tokens = 40, 20, 2000 // far above the limit in a second
	var running sync.WaitGroup
	var lock sync.Mutex
	granted := 0
	start := time.Now()
	for i := range callers {
		running.Go(func() {
			for range each {
				if _, ok := follower.Take(context.Background(), &workspaces[i%2], tokens); ok {
					lock.Lock()
					granted++
					lock.Unlock()
				}
				follower.Return(&workspaces[i%2], 0, clock.Now())
			}
		})
	}
	running.Wait()
	took := time.Since(start)
	control.lock.Lock()
	defer control.lock.Unlock()
	is.Equal(control.most, 1) // one request in flight
	is.True(len(control.messages)-before < callers*each/4)
	is.True(granted > 0)
	limit := 2 * (100_000*(took.Seconds()+2) + 100_000)
	is.True(float64(granted*tokens) < limit)
	is.True(limit < callers*each*tokens) // otherwise the check of the limit could not fail
}

// TestNoLimitNoMessage guards against messages between zones in a deployment without limits.
func TestNoLimitNoMessage(t *testing.T) {
	is := is.New(t)
	workspace := core.Workspace{Workspace: "a"}
	control := newQuotaControl([]core.Workspace{workspace})
	follower, stop := followQuotas(control, []core.Workspace{workspace})
	defer stop()
	_, ok := follower.Take(context.Background(), &workspace, 1<<40)
	is.True(ok)
	time.Sleep(3 * quota.KeepAlive / 2)
	is.Equal(control.sent(), 0)
	follower.setLimits(core.RouteTable{Number: 2, Workspaces: []core.Workspace{limitedWorkspace("a", 10)}})
	awaitAttached(t, control)
}

// TestSilentGrantor guards against requests that each wait for a control VM which does not answer,
// and against a VM that then serves nothing, or all, of a workspace.
func TestSilentGrantor(t *testing.T) {
	is := is.New(t)
	workspaces := []core.Workspace{limitedWorkspace("a", 100_000)}
	control := newQuotaControl(workspaces)
	follower, stop := followQuotas(control, workspaces)
	defer stop()
	awaitAttached(t, control)
	control.silence()
	time.Sleep(quota.AttachedTime + 500*time.Millisecond) // half a second of the own share
	start := time.Now()
	served := 0
	var last time.Duration
	for range 2000 {
		left, ok := follower.Take(context.Background(), &workspaces[0], 100)
		if ok {
			served++
		}
		last = left
	}
	is.True(served >= 100)                                   // 10,000 tokens of at least 50,000
	is.True(served <= 2000/2)                                // the own bucket is below 100,000 tokens
	is.True(time.Since(start) < 4*quotaWait)                 // they did not wait one after another
	is.True(last > 0 && last <= 10*time.Second+1)            // refused, with a time to return
	is.Equal(follower.quotas.lease.Share(), core.WholeQuota) // the only VM
}

// TestWorkspaceNames guards against metrics that grow with the number of workspaces.
func TestWorkspaceNames(t *testing.T) {
	is := is.New(t)
	var quotas quotas
	names := make(map[string]bool)
	for i := range 10_000 {
		names[quotas.metricName(core.WorkspaceID(fmt.Sprint("w", i)))] = true
	}
	is.Equal(len(names), maxNamedWorkspaces+1)
	is.Equal(quotas.metricName("w3"), "w3")
}

// TestQuotaOwner guards against the owner of the quotas being taken for that of a zone's engines,
// which would get usage reports and requests for engines.
func TestQuotaOwner(t *testing.T) {
	is := is.New(t)
	table := NewTable("z")
	follower := &Follower{options: Options{Table: table, Logger: log.New(io.Discard)}}
	follower.applyOwner(&wire.Ownership{Group: &wire.Group{Kind: uint32(core.EngineGroup), Name: core.QuotaGroup.Name}, Vm: "c", FencingToken: 5})
	follower.applyOwner(&wire.Ownership{Group: &wire.Group{Kind: uint32(core.EngineGroup), Name: core.QuotaGroup.Name}, Vm: "old", FencingToken: 4})
	follower.applyOwner(&wire.Ownership{Group: &wire.Group{Zone: "z", Kind: uint32(core.EngineGroup), Name: "engines"}, Vm: "d", FencingToken: 6})
	is.Equal(table.QuotaOwner(), core.VMID("c"))
	is.Equal(table.Owners(), map[core.ZoneID]core.VMID{"z": "d"})
}

// BenchmarkTake is the decision on a request whose tokens are held, with its metrics: the check of
// the key and this together take at most 1 us.
func BenchmarkTake(b *testing.B) {
	workspaces := make([]core.Workspace, 16)
	for i := range workspaces {
		workspaces[i] = core.Workspace{Workspace: core.WorkspaceID(fmt.Sprint("workspace-", i)), Quota: core.Quota{Rate: 1e9, Burst: 1e15}}
	}
	var quotas quotas
	now := clock.Now()
	grantor := quota.NewGrantor(now-time.Minute, 1, quota.Shares{Number: 1, Shares: map[core.VMID]core.QuotaShare{"entry": core.WholeQuota}}, false)
	grantor.SetLimits(now-time.Minute, workspaces)
	exchange := func(now time.Duration, waiting []quota.Waiting) {
		request := quotas.lease.Request(now, "entry", waiting)
		quotas.lease.Answer(now, now, request, grantor.Grant(now, request))
	}
	for i := range 10 {
		exchange(now+time.Duration(i-10)*quota.KeepAlive, nil)
	}
	follower := &Follower{options: Options{Table: NewTable("z"), Logger: log.New(io.Discard)}}
	b.ReportAllocs()
	at := 0
	for b.Loop() {
		if at%10_000 == 0 { // the tokens are valid for 500 ms
			b.StopTimer()
			now := clock.Now()
			var waiting []quota.Waiting
			for i := range workspaces {
				waiting = append(waiting, quota.Waiting{Workspace: &workspaces[i], First: 30_000, Total: 30_000})
			}
			exchange(now, waiting)
			follower.quotas.lease, follower.quotas.limited = quotas.lease, true
			b.StartTimer()
		}
		if _, ok := follower.Take(context.Background(), &workspaces[at%16], 1); !ok {
			b.Fatal("a request was refused")
		}
		at++
	}
}

// TestSilentGrantorDelay guards against requests that wait for a control VM which did not answer the last
// request for tokens, although the VM's own share has their tokens: calls would miss their objective.
func TestSilentGrantorDelay(t *testing.T) {
	is := is.New(t)
	workspaces := []core.Workspace{limitedWorkspace("a", 100_000)}
	control := newQuotaControl(workspaces)
	follower, stop := followQuotas(control, workspaces)
	defer stop()
	awaitAttached(t, control)
	control.silence()
	time.Sleep(quota.AttachedTime + quotaTimeout)
	const count = 60
	delayed := 0
	for range count {
		start := time.Now()
		_, ok := follower.Take(context.Background(), &workspaces[0], 10)
		is.True(ok)
		if time.Since(start) > quotaWait/2 {
			delayed++
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(delayed, 0)
}
