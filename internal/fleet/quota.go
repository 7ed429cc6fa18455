package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quota"
)

const (
	// quotaWait is the longest time for which a request of a caller waits for the VM that grants
	// the quotas, which usually answers in a few milliseconds.
	quotaWait = 150 * time.Millisecond
	// quotaTimeout bounds one request for tokens. What is granted later could hardly be used
	// before it expires.
	quotaTimeout = 400 * time.Millisecond
	// quotaRetryDelay is the time without requests after one that failed or that went to a VM
	// that does not grant the quotas. Requests of callers do not wait in that time.
	quotaRetryDelay = 100 * time.Millisecond
	// maxNamedWorkspaces is the number of workspaces with metrics of their own.
	maxNamedWorkspaces = 64
	otherWorkspaces    = "other"
)

var (
	// quotaRequests counts the requests of workspaces with a limit, and quotaTokens their tokens,
	// by what they were taken from: "granted", "own share", or "refused".
	quotaRequests = telemetry.NewCounterFamily("dandelionring_workspace_requests_total", "workspace", "result")
	quotaTokens   = telemetry.NewCounterFamily("dandelionring_workspace_tokens_total", "workspace", "result")
	// quotaCalls counts the requests for tokens to control VMs by their result, and whether requests
	// of callers waited for them.
	quotaCalls = telemetry.NewCounterFamily("dandelionring_quota_calls_total", "result", "waited")
)

// quotas holds the tokens of workspaces that this VM may use.
type quotas struct {
	// due holds one element while quotaLoop is to look whether a request is due.
	due chan struct{}

	// lock has position 3 in the lock order. It guards the fields below.
	lock    sync.Mutex
	lease   quota.Lease
	limited bool
	number  core.ConfigNumber
	// waiters holds the requests of callers that wait, in the order of their arrival.
	waiters []*quotaWaiter
	// asked is the time of the request in flight, zero while there is none.
	asked time.Duration
	// pausedUntil is the end of the pause after a failed request.
	pausedUntil time.Duration
	// unanswered is set if the last request failed.
	unanswered bool
	// attached is the state that was logged last.
	attached bool
	// named holds the workspaces with metrics of their own.
	named map[core.WorkspaceID]bool
}

// quotaWaiter is a request of a caller that waits for tokens.
type quotaWaiter struct {
	workspace *core.Workspace
	tokens    core.Tokens
	// asked is set once a request for its tokens was sent.
	asked bool
	// decided gets one element.
	decided chan quotaDecision
}

// quotaDecision is the decision on a request, with the name of what the tokens were taken from.
type quotaDecision struct {
	result     string
	retryAfter time.Duration
}

const (
	resultGranted = "granted"
	resultOwn     = "own share"
	resultRefused = "refused"
)

// wake makes quotaLoop look whether a request is due. It does not block.
func (quotas *quotas) wake() {
	select {
	case quotas.due <- struct{}{}:
	default:
	}
}

// setLimits applies the limits of a new route table.
func (follower *Follower) setLimits(routes core.RouteTable) {
	quotas := &follower.quotas
	quotas.lock.Lock()
	quotas.number, quotas.limited = routes.Number, quota.Limited(routes.Workspaces)
	quotas.lease.SetLimits(clock.Now(), routes.Workspaces)
	quotas.lock.Unlock()
	quotas.wake()
}

// Take takes the tokens of a request of a workspace. If the workspace is at its limit, it takes none
// and returns the time after which the caller is to return. It waits for the control VM that grants
// the quotas for at most quotaWait; if that does not answer, the share of this VM decides.
func (follower *Follower) Take(ctx context.Context, workspace *core.Workspace, tokens core.Tokens) (time.Duration, bool) {
	if workspace.Quota.Rate <= 0 || tokens <= 0 {
		return 0, true
	}
	quotas := &follower.quotas
	decision, waiter, name := quotas.begin(follower.options.Table.QuotaOwner() != "", workspace, tokens)
	if waiter != nil {
		decision = quotas.await(ctx, waiter)
	}
	quotaRequests.Inc(name, decision.result)
	quotaTokens.Add(name, decision.result, int(tokens))
	return decision.retryAfter, decision.result != resultRefused
}

// begin decides on a request at once, or returns a waiter. It also returns the name of the workspace
// for metrics.
func (quotas *quotas) begin(owned bool, workspace *core.Workspace, tokens core.Tokens) (quotaDecision, *quotaWaiter, string) {
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	name := quotas.metricName(workspace.Workspace)
	now := clock.Now()
	switch decision, retryAfter := quotas.lease.Take(now, workspace, tokens); decision {
	case quota.Taken:
		if quotas.lease.Low(now, workspace.Workspace) {
			quotas.wake()
		}
		return quotaDecision{result: resultGranted}, nil, name
	case quota.Refused:
		return quotaDecision{result: resultRefused, retryAfter: retryAfter}, nil, name
	}
	silent := quotas.asked > 0 && now-quotas.asked >= quotaWait
	own := quotas.unanswered && quotas.lease.OwnSuffices(now, workspace, tokens)
	if !owned || silent || own || now < quotas.pausedUntil {
		return quotas.takeOwn(now, workspace, tokens), nil, name
	}
	waiter := &quotaWaiter{workspace: workspace, tokens: tokens, decided: make(chan quotaDecision, 1)}
	quotas.waiters = append(quotas.waiters, waiter)
	quotas.wake()
	return quotaDecision{}, waiter, name
}

// metricName returns the name of a workspace in metrics. The caller holds the lock.
func (quotas *quotas) metricName(workspace core.WorkspaceID) string {
	if !quotas.named[workspace] {
		if len(quotas.named) >= maxNamedWorkspaces {
			return otherWorkspaces
		}
		if quotas.named == nil {
			quotas.named = make(map[core.WorkspaceID]bool)
		}
		quotas.named[workspace] = true
	}
	return string(workspace)
}

// takeOwn decides on a request without the control VM. The caller holds the lock.
func (quotas *quotas) takeOwn(now time.Duration, workspace *core.Workspace, tokens core.Tokens) quotaDecision {
	if retryAfter, ok := quotas.lease.TakeOwn(now, workspace, tokens); !ok {
		return quotaDecision{result: resultRefused, retryAfter: retryAfter}
	}
	return quotaDecision{result: resultOwn}
}

// await waits for the decision on a request, for at most quotaWait.
func (quotas *quotas) await(ctx context.Context, waiter *quotaWaiter) quotaDecision {
	timer := time.NewTimer(quotaWait)
	defer timer.Stop()
	select {
	case decision := <-waiter.decided:
		return decision
	case <-ctx.Done():
	case <-timer.C:
	}
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	if at := slices.Index(quotas.waiters, waiter); at >= 0 {
		quotas.waiters = slices.Delete(quotas.waiters, at, at+1)
		return quotas.takeOwn(clock.Now(), waiter.workspace, waiter.tokens)
	}
	return <-waiter.decided
}

// Return gives back the tokens of a request that was not sent to any upstream, and that took them at
// the time taken.
func (follower *Follower) Return(workspace *core.Workspace, tokens core.Tokens, taken time.Duration) {
	quotas := &follower.quotas
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	quotas.lease.Return(clock.Now(), workspace.Workspace, tokens, taken)
}

// quotaLoop sends the requests for tokens, one after another, until the follower stops. While the
// route table has no limit it sends none.
func (follower *Follower) quotaLoop() {
	timer := time.NewTimer(quota.KeepAlive)
	defer timer.Stop()
	for {
		var expired <-chan time.Time
		if wait, limited := follower.quotas.untilDue(clock.Now()); limited {
			timer.Reset(wait)
			expired = timer.C
		}
		select {
		case <-follower.ctx.Done():
			return
		case <-follower.quotas.due:
			// A request of a caller waits, or the state has changed; untilDue is asked again.
			if wait, limited := follower.quotas.untilDue(clock.Now()); !limited || wait > 0 {
				continue
			}
		case <-expired:
		}
		follower.askForTokens()
	}
}

// untilDue returns the time until the next request for tokens, and false if the route table has no
// limit.
func (quotas *quotas) untilDue(now time.Duration) (time.Duration, bool) {
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	due := quotas.lease.Due()
	if len(quotas.waiters) > 0 || quotas.lease.LowAny(now) {
		due = now
	}
	return max(0, due-now, quotas.pausedUntil-now), quotas.limited
}

// askForTokens sends one request for tokens and decides on the requests of callers that waited for
// it.
func (follower *Follower) askForTokens() {
	quotas := &follower.quotas
	owner := follower.options.Table.QuotaOwner()
	asked, request, number := quotas.beginRequest(follower.options.VM)
	var result *wire.QuotaResult
	if owner != "" {
		result = follower.callQuota(owner, peer.QuotaRequestMessage(request, number))
	}
	waited := quotas.endRequest(asked, request, result)
	outcome := "failed"
	switch {
	case result.GetNotOwner():
		outcome = "not owner"
	case result != nil:
		outcome = "answered"
	}
	if owner != "" {
		quotaCalls.Inc(outcome, waited)
	}
	if attached, changed := quotas.noteAttached(clock.Now()); changed && attached {
		follower.options.Logger.Info("The quotas are granted by a control VM.", "control", owner, "share_millionths", request.Share)
	} else if changed {
		follower.options.Logger.Warn("The quotas are decided with this VM's own share: no control VM grants them.", "control", owner, "share_millionths", request.Share)
	}
}

// callQuota sends a request for tokens. It returns nil if there is no answer in time.
func (follower *Follower) callQuota(owner core.VMID, request *wire.QuotaRequest) *wire.QuotaResult {
	ctx, cancel := context.WithTimeout(follower.ctx, quotaTimeout)
	defer cancel()
	response, err := follower.options.Calls.Call(ctx, owner, &wire.Request{Body: &wire.Request_QuotaRequest{QuotaRequest: request}})
	if err != nil {
		follower.options.Logger.Debug("A request for tokens of workspaces failed.", "control", owner, "error", err)
		return nil
	}
	return response.GetQuotaResult()
}

// beginRequest returns the request for the tokens of all that wait.
func (quotas *quotas) beginRequest(vm core.VMID) (time.Duration, quota.Request, core.ConfigNumber) {
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	var waiting []quota.Waiting
	for _, waiter := range quotas.waiters {
		waiter.asked = true
		at := slices.IndexFunc(waiting, func(other quota.Waiting) bool { return other.Workspace.Workspace == waiter.workspace.Workspace })
		if at < 0 {
			at = len(waiting)
			waiting = append(waiting, quota.Waiting{Workspace: waiter.workspace, First: waiter.tokens})
		}
		waiting[at].Total += waiter.tokens
	}
	quotas.asked = clock.Now()
	return quotas.asked, quotas.lease.Request(quotas.asked, vm, waiting), quotas.number
}

// endRequest applies the answer to a request, nil for none, and decides on the requests of callers
// that waited for it. It returns whether there were any.
func (quotas *quotas) endRequest(asked time.Duration, request quota.Request, message *wire.QuotaResult) string {
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	now := clock.Now()
	quotas.asked = 0
	answered := message != nil && !message.GetNotOwner() && quotas.lease.Answer(now, asked, request, peer.QuotaResultFromMessage(message))
	if quotas.unanswered = !answered; !answered {
		quotas.pausedUntil = now + quotaRetryDelay
	}
	waited := "false"
	left := quotas.waiters[:0]
	for _, waiter := range quotas.waiters {
		switch {
		case answered && !waiter.asked:
			left = append(left, waiter)
			continue
		case !answered:
			waiter.decided <- quotas.takeOwn(now, waiter.workspace, waiter.tokens)
		case quotas.lease.TakeGranted(now, waiter.workspace, waiter.tokens):
			waiter.decided <- quotaDecision{result: resultGranted}
		default:
			waiter.decided <- quotaDecision{result: resultRefused, retryAfter: quotas.lease.RefuseWaiting(now, waiter.workspace, waiter.tokens)}
		}
		waited = "true"
	}
	clear(quotas.waiters[len(left):])
	quotas.waiters = left
	return waited
}

// noteAttached returns whether a control VM grants the quotas, and whether that has changed since
// the last call.
func (quotas *quotas) noteAttached(now time.Duration) (attached, changed bool) {
	quotas.lock.Lock()
	defer quotas.lock.Unlock()
	attached = quotas.lease.Attached(now)
	changed = attached != quotas.attached
	quotas.attached = attached
	return attached, changed
}
