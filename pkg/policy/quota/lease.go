package quota

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// aheadTime is the time for whose demand tokens are requested in advance.
	aheadTime = 200 * time.Millisecond
	// demandTime is the time over which the demand is averaged, and idleTime the time without a
	// request after which a workspace has none.
	demandTime = time.Second
	idleTime   = 2 * time.Second
	// sizeWeight is the weight of one request in the average size of requests.
	sizeWeight = 0.125
	// frequent is the number of requests in demandTime from which tokens are held for the next one.
	// Below, to hold them costs more bytes than to ask for each request.
	frequent = 1
	// renewAge is the age from which granted tokens are exchanged for new ones with a request that
	// is sent for others. It is below KeepAlive, at which they are in any case.
	renewAge = 300 * time.Millisecond
	// minAheadInterval is the least time between two requests that are sent in advance only.
	minAheadInterval = 100 * time.Millisecond
	// minHold and maxHold bound the time after a refusal in which this VM refuses further requests
	// itself, without a request to the grantor.
	minHold = 20 * time.Millisecond
	maxHold = 100 * time.Millisecond
	// unknownRetry is the time after which a caller returns whose request the own bucket will not
	// serve: by then the VM is likely to be in contact again.
	unknownRetry = time.Second
)

// Decision is the decision on one request.
type Decision uint8

// The decisions.
const (
	// Taken means that the tokens were taken.
	Taken Decision = iota + 1
	// Ask means that the grantor must be asked.
	Ask
	// Refused means that the workspace is at its limit.
	Refused
)

// Waiting is the demand of the requests of a workspace that wait for the grantor: the tokens of
// the one that has waited longest, and of all.
type Waiting struct {
	Workspace    *core.Workspace
	First, Total core.Tokens
}

// holding is what an entry VM holds for a workspace.
type holding struct {
	workspace core.WorkspaceID
	limit     core.Quota
	// tokens were granted in the answer with the stamp, in response to a request of the time
	// asked. Of them, taken have been taken.
	tokens, taken core.Tokens
	stamp         Stamp
	asked         time.Duration
	// own is the level of the own bucket, filled up to ownFlow.
	own, ownFlow float64
	// ownUsed is the time of the last use of the own bucket.
	ownUsed time.Duration
	// rate is the demand in tokens a second and size the average size of requests, at used.
	rate, size float64
	used       time.Duration
	// recent is set while the holding is in Lease.recent.
	recent bool
	// refusedUntil is the time until which requests of at least refusedMin tokens are refused.
	refusedUntil time.Duration
	refusedMin   core.Tokens
	returns      returns
}

// Lease holds the tokens that an entry VM may use. The zero value holds none and has no share. It
// is not safe for concurrent use.
type Lease struct {
	share core.QuotaShare
	// started is set once the limits were set for the first time. No use of an own bucket is
	// forgotten after the time began: that of the start, of the last removal of a limit, or of the
	// last larger share.
	started bool
	began   time.Duration
	// answered is the stamp of the last answer and received the time of its receipt.
	answered Stamp
	received time.Duration
	// unsettled is set if the grantor does not count this VM's share yet.
	unsettled bool
	// asked is the time of the last request.
	asked time.Duration
	// flow is the time in which the VM has used its share itself, weighted with the share, in
	// seconds.
	flow   float64
	flowAt time.Duration
	// base is the flow when the limits were set last. A bucket that is used for the first time
	// gets no tokens from before.
	base     float64
	holdings map[core.WorkspaceID]*holding
	// recent lists the holdings with tokens or demand.
	recent []*holding
}

// SetLimits removes what is held for workspaces that no longer have a limit, and the refusals of
// those whose limit has changed.
func (lease *Lease) SetLimits(now time.Duration, workspaces []core.Workspace) {
	lease.advance(now)
	if !lease.started {
		lease.started, lease.began = true, now
	}
	lease.base = lease.flow
	limited := make(map[core.WorkspaceID]bool)
	for i := range workspaces {
		if workspaces[i].Quota.Rate <= 0 {
			continue
		}
		limited[workspaces[i].Workspace] = true
		if held := lease.holdings[workspaces[i].Workspace]; held != nil && held.limit != workspaces[i].Quota {
			lease.fillOwn(now, held)
			held.limit, held.returns, held.refusedUntil = workspaces[i].Quota, returns{}, 0
		}
	}
	lease.recent = slices.DeleteFunc(lease.recent, func(held *holding) bool { return !limited[held.workspace] })
	for id := range lease.holdings {
		if !limited[id] {
			lease.began = now
			delete(lease.holdings, id)
		}
	}
}

// holding returns what is held for a workspace.
func (lease *Lease) holding(workspace *core.Workspace) *holding {
	held := lease.holdings[workspace.Workspace]
	if held == nil {
		if lease.holdings == nil {
			lease.holdings = make(map[core.WorkspaceID]*holding)
		}
		held = &holding{workspace: workspace.Workspace, ownFlow: lease.base}
		lease.holdings[workspace.Workspace] = held
	}
	held.limit = workspace.Quota
	return held
}

// advance adds the time since the last call to the flow.
func (lease *Lease) advance(now time.Duration) {
	from, to := max(lease.flowAt, lease.received+AttachedTime), min(now, lease.received+ownShareTime)
	if to > from {
		lease.flow += lease.share.Fraction() * (to - from).Seconds()
	}
	lease.flowAt = max(lease.flowAt, now)
}

// Attached reports whether the VM's share belongs to the grantor.
func (lease *Lease) Attached(now time.Duration) bool {
	return lease.answered != (Stamp{}) && now-lease.received < AttachedTime
}

// Share returns the share of the VM.
func (lease *Lease) Share() core.QuotaShare { return lease.share }

// ownLimit returns the capacity of the own bucket of a workspace.
func (lease *Lease) ownLimit(limit core.Quota) float64 {
	return ownCapacity(limit) * lease.share.Fraction()
}

// fillOwn adds the tokens since the last call to the own bucket. A process that has just started
// does not know what the one before it has used.
func (lease *Lease) fillOwn(now time.Duration, held *holding) {
	if lease.started && now-max(held.ownUsed, lease.began) >= ownRefillTime && now < lease.received+ownShareTime {
		held.own, held.ownFlow = lease.ownLimit(held.limit), lease.flow
		return
	}
	held.own = min(lease.ownLimit(held.limit), held.own+float64(held.limit.Rate)*(lease.flow-held.ownFlow))
	held.ownFlow = lease.flow
}

// valid returns the granted tokens that may be used.
func (held *holding) valid(now time.Duration) core.Tokens {
	if now-held.asked >= leaseTime {
		return 0
	}
	return held.tokens
}

// observe adds a request to the demand.
func (lease *Lease) observe(now time.Duration, held *holding, tokens core.Tokens) {
	held.rate = held.demand(now) + float64(tokens)/demandTime.Seconds()
	if held.size == 0 {
		held.size = float64(tokens)
	}
	held.size += (float64(tokens) - held.size) * sizeWeight
	held.used = now
	lease.list(held)
}

// list adds a holding to the recent ones.
func (lease *Lease) list(held *holding) {
	if !held.recent {
		held.recent = true
		lease.recent = append(lease.recent, held)
	}
}

// demand returns the demand in tokens a second.
func (held *holding) demand(now time.Duration) float64 {
	if held.rate == 0 || now-held.used >= idleTime {
		return 0
	}
	return held.rate * math.Exp(-(now-held.used).Seconds()/demandTime.Seconds())
}

// ahead returns the tokens to hold for the demand until the next request: those of aheadTime and one
// request of average size, if requests of the workspace are frequent.
func (held *holding) ahead(now time.Duration) core.Tokens {
	demand := held.demand(now)
	if demand*demandTime.Seconds() < frequent*held.size {
		return 0
	}
	return core.Tokens(math.Ceil(demand*aheadTime.Seconds() + held.size))
}

// Take takes the tokens of a request from those that were granted. With Refused it also returns
// the time after which the caller is to return.
func (lease *Lease) Take(now time.Duration, workspace *core.Workspace, tokens core.Tokens) (Decision, time.Duration) {
	held := lease.holding(workspace)
	lease.observe(now, held, tokens)
	if lease.takeGranted(now, held, tokens) {
		return Taken, 0
	}
	if now < held.refusedUntil && tokens >= held.refusedMin {
		return Refused, held.returns.after(now, held.refusedUntil-now, float64(tokens), float64(held.limit.Rate))
	}
	return Ask, 0
}

// TakeGranted takes the tokens of a request that has waited for the grantor.
func (lease *Lease) TakeGranted(now time.Duration, workspace *core.Workspace, tokens core.Tokens) bool {
	return lease.takeGranted(now, lease.holding(workspace), tokens)
}

func (lease *Lease) takeGranted(now time.Duration, held *holding, tokens core.Tokens) bool {
	if held.valid(now) < tokens {
		return false
	}
	held.tokens -= tokens
	held.taken += tokens
	return true
}

// OwnSuffices reports whether TakeOwn would serve a request.
func (lease *Lease) OwnSuffices(now time.Duration, workspace *core.Workspace, tokens core.Tokens) bool {
	held := lease.holding(workspace)
	lease.advance(now)
	lease.fillOwn(now, held)
	return float64(tokens-min(tokens, held.valid(now))) <= held.own
}

// TakeOwn takes the tokens of a request from what is left of the granted ones and from the own
// bucket, while the grantor does not answer. Otherwise it returns the time after which the caller
// is to return.
func (lease *Lease) TakeOwn(now time.Duration, workspace *core.Workspace, tokens core.Tokens) (time.Duration, bool) {
	held := lease.holding(workspace)
	lease.advance(now)
	lease.fillOwn(now, held)
	granted := min(tokens, held.valid(now))
	rest := float64(tokens - granted)
	if rest <= held.own {
		held.tokens -= granted
		held.taken += granted
		if rest > 0 {
			held.own -= rest
			held.ownUsed = now
		}
		return 0, true
	}
	rate := float64(held.limit.Rate) * lease.share.Fraction()
	if rate <= 0 || rest > lease.ownLimit(held.limit) || now >= lease.received+ownShareTime {
		return held.returns.after(now, unknownRetry, float64(tokens), float64(held.limit.Rate)), false
	}
	return held.returns.after(now, timeFor(rest-held.own, rate), float64(tokens), rate), false
}

// Return gives back the tokens of a request that was not sent to any upstream, and that took them at
// the time taken. They are lost if the answer that granted them is no longer the last one: a request
// may be given up seconds after it took its tokens.
func (lease *Lease) Return(now time.Duration, workspace core.WorkspaceID, tokens core.Tokens, taken time.Duration) {
	held := lease.holdings[workspace]
	if held == nil || taken < held.asked || now-held.asked >= leaseTime {
		return
	}
	tokens = min(tokens, held.taken)
	held.taken -= tokens
	held.tokens += tokens
}

// Due returns the time at which the next request is to be sent although none waits.
func (lease *Lease) Due() time.Duration {
	if lease.unsettled || lease.answered == (Stamp{}) {
		return lease.asked + SettleTime
	}
	due := lease.asked + KeepAlive
	for _, held := range lease.recent {
		if held.tokens > 0 {
			due = min(due, held.asked+KeepAlive)
		}
	}
	return max(due, lease.asked+minAheadInterval)
}

// LowAny reports whether Low holds for a workspace.
func (lease *Lease) LowAny(now time.Duration) bool {
	return slices.ContainsFunc(lease.recent, func(held *holding) bool { return lease.Low(now, held.workspace) })
}

// Low reports whether a request is to be sent in advance for a workspace: its tokens do not last
// for half of aheadTime.
func (lease *Lease) Low(now time.Duration, workspace core.WorkspaceID) bool {
	held := lease.holdings[workspace]
	return held != nil && now-lease.asked >= minAheadInterval && now >= held.refusedUntil && lease.low(now, held)
}

func (lease *Lease) low(now time.Duration, held *holding) bool {
	demand := held.demand(now)
	return demand*demandTime.Seconds() >= frequent*held.size && float64(held.valid(now)) < demand*aheadTime.Seconds()/2
}

// Request returns the request to the grantor. The tokens that it gives back are no longer held.
func (lease *Lease) Request(now time.Duration, vm core.VMID, waiting []Waiting) Request {
	lease.advance(now)
	request := Request{VM: vm, Share: lease.share}
	if lease.Attached(now) {
		request.Answered = lease.answered
	}
	for _, demand := range waiting {
		held := lease.holding(demand.Workspace)
		want := lease.want(now, held)
		want.Min, want.Waiting = demand.First, demand.Total
		request.Wants = append(request.Wants, want)
	}
	lease.recent = slices.DeleteFunc(lease.recent, func(held *holding) bool {
		held.recent = held.tokens > 0 || now-held.used < idleTime
		return !held.recent
	})
	for _, held := range lease.recent {
		if slices.ContainsFunc(waiting, func(demand Waiting) bool { return demand.Workspace.Workspace == held.workspace }) {
			continue
		}
		// What was requested a moment ago is requested once more only if it is used up.
		if now-held.asked < renewAge && !lease.low(now, held) || now < held.refusedUntil {
			continue
		}
		if want := lease.want(now, held); want.Returned > 0 || want.Ahead > 0 {
			request.Wants = append(request.Wants, want)
		}
	}
	lease.asked = now
	return request
}

// want returns the want of a workspace for which no request waits. All unused tokens are given
// back, and the likely demand is requested anew: tokens that are not given back within leaseTime are
// lost for the workspace.
func (lease *Lease) want(now time.Duration, held *holding) Want {
	want := Want{Workspace: held.workspace, Ahead: held.ahead(now)}
	if tokens := held.valid(now); tokens > 0 && held.stamp.Token == lease.answered.Token {
		want.Returned, want.ReturnedFrom = tokens, held.stamp.At
	}
	held.tokens, held.taken, held.asked = 0, 0, now
	lease.fillOwn(now, held)
	want.Reserve = core.Tokens(lease.ownLimit(held.limit) - held.own)
	return want
}

// Answer applies the answer to a request that was sent at the time asked. It returns false if the
// answer is not from a grantor.
func (lease *Lease) Answer(now, asked time.Duration, request Request, result Result) bool {
	if result.Stamp == (Stamp{}) {
		return false
	}
	lease.advance(now)
	lease.unsettled = result.Stamp.Token != lease.answered.Token || result.Share != lease.share || result.Share == 0
	if result.Share > lease.share {
		lease.began = now // the VM that had the share may just have used its own buckets
	}
	lease.answered, lease.received, lease.share = result.Stamp, now, result.Share
	for i, grant := range result.Grants {
		if i >= len(request.Wants) || request.Wants[i].Workspace != grant.Workspace {
			break
		}
		lease.apply(now, asked, request.Wants[i], grant)
	}
	return true
}

// apply applies the part of an answer for one workspace.
func (lease *Lease) apply(now, asked time.Duration, want Want, grant Grant) {
	held := lease.holdings[want.Workspace]
	if held == nil {
		return // the workspace has no limit any more
	}
	usable := min(grant.Tokens, want.Waiting+want.Ahead)
	held.tokens, held.taken, held.asked, held.stamp = usable, 0, asked, lease.answered
	if usable > 0 {
		lease.list(held)
	}
	if reserve := grant.Tokens - usable; reserve > 0 {
		lease.fillOwn(now, held)
		held.own = min(lease.ownLimit(held.limit), held.own+float64(reserve))
	}
	if grant.RetryAfter <= 0 {
		return
	}
	held.refusedUntil = now + min(max(grant.RetryAfter/4, minHold), maxHold)
	held.refusedMin = 1
	if grant.Tokens >= want.Waiting-want.Min {
		held.refusedMin = want.Min // the others got their tokens
	}
	held.returns.next = now + grant.RetryAfter
}

// RefuseWaiting returns the time after which the caller of a request that has waited for the
// grantor and was refused is to return.
func (lease *Lease) RefuseWaiting(now time.Duration, workspace *core.Workspace, tokens core.Tokens) time.Duration {
	held := lease.holding(workspace)
	return held.returns.after(now, minRetryAfter, float64(tokens), float64(held.limit.Rate))
}
