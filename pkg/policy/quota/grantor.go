package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// flowStep is the least time between two additions to the flow, each of which looks at all VMs.
	flowStep = 2 * time.Millisecond
	// aheadLevel and reserveLevel are the parts of the burst that stay in a bucket when tokens are
	// granted for the likely demand and for the reserves of the VMs: requests that wait at other
	// VMs come first.
	aheadLevel   = 0.25
	reserveLevel = 0.5
	// recentTime is the time since the last request of a VM for which it may get a larger share.
	recentTime = time.Second
	// maxMembers bounds the entry VMs that a grantor knows.
	maxMembers = 4096
)

// Shares holds the share of each entry VM as it is recorded with the replicated state. No VM has
// a larger share than the recorded one, whichever grantor gave it. Number identifies the version.
type Shares struct {
	Number uint64
	Shares map[core.VMID]core.QuotaShare
}

// member is what a grantor knows of an entry VM.
type member struct {
	vm core.VMID
	// recorded is the recorded share. proposed is the least share that was proposed in its place
	// since then, and recorded if none was.
	recorded, proposed core.QuotaShare
	// stated is the larger one of the share that the VM has stated last and of that which it was
	// told in answer. current is set if the VM had received all answers before.
	stated  core.QuotaShare
	current bool
	// heard is the time of the last request, and answered that of the last answer.
	heard, answered time.Duration
	// counted is the share that belongs to the grantor until countedUntil.
	counted      core.QuotaShare
	countedUntil time.Duration
	// lent holds the tokens that the VM may still give back.
	lent map[core.WorkspaceID]loan
}

// loan is what the grantor has granted in its last answer about a workspace.
type loan struct {
	at     time.Duration
	tokens core.Tokens
}

// bucket is the token bucket of a workspace.
type bucket struct {
	limit core.Quota
	level float64
	// flow is the flow up to which the bucket was filled.
	flow    float64
	returns returns
}

// Grantor grants the tokens of all workspaces. Use NewGrantor. It is not safe for concurrent use.
type Grantor struct {
	token   core.FencingToken
	started time.Duration
	// earlyDebt is the debt that may be left in earlyDebtTime.
	earlyDebt core.Tokens
	number    uint64
	members   map[core.VMID]*member
	// order holds the members once more, since the flow looks at all of them.
	order   []*member
	buckets map[core.WorkspaceID]*bucket
	// indebted holds the buckets below zero of workspaces that have no limit now, and unlimited the
	// workspaces of the table without one.
	indebted  map[core.WorkspaceID]*bucket
	unlimited map[core.WorkspaceID]bool
	// flow is the time since the start, weighted with the sum of the counted shares, in seconds.
	flow   float64
	flowAt time.Duration
}

// NewGrantor returns a grantor whose ownership has the given token. Its buckets are empty: the one
// before may have granted all tokens just before it ended. shares are the recorded shares. resumed is
// set if this process was started while its VM had the token already: such starts may follow each
// other quickly, so it leaves no debt at first.
func NewGrantor(now time.Duration, token core.FencingToken, shares Shares, resumed bool) *Grantor {
	grantor := &Grantor{
		token: token, started: now, flowAt: now,
		members: make(map[core.VMID]*member), buckets: make(map[core.WorkspaceID]*bucket),
	}
	if !resumed {
		grantor.earlyDebt = earlyDebt
	}
	grantor.SetShares(now, shares)
	return grantor
}

// SetLimits sets the limits of all workspaces. The level of a bucket is kept, cut to the new burst. A
// debt is kept also while the workspace has no limit: otherwise each time that it gets one again would
// allow a further debt.
func (grantor *Grantor) SetLimits(now time.Duration, workspaces []core.Workspace) {
	grantor.advance(now, 0)
	next, indebted, unlimited := make(map[core.WorkspaceID]*bucket), make(map[core.WorkspaceID]*bucket), make(map[core.WorkspaceID]bool)
	for _, former := range []map[core.WorkspaceID]*bucket{grantor.buckets, grantor.indebted} {
		for id, bucket := range former {
			if bucket.fill(grantor.flow); bucket.level < 0 {
				indebted[id] = bucket
			}
		}
	}
	for i := range workspaces {
		workspace := &workspaces[i]
		if workspace.Quota.Rate <= 0 {
			unlimited[workspace.Workspace] = true
			continue
		}
		known := cmp.Or(grantor.buckets[workspace.Workspace], indebted[workspace.Workspace], &bucket{flow: grantor.flow})
		delete(indebted, workspace.Workspace)
		if known.limit != workspace.Quota {
			known.returns = returns{}
		}
		known.limit = workspace.Quota
		known.level = min(known.level, capacity(known.limit))
		next[workspace.Workspace] = known
	}
	grantor.buckets, grantor.indebted, grantor.unlimited = next, indebted, unlimited
}

// SetShares sets the recorded shares.
func (grantor *Grantor) SetShares(now time.Duration, shares Shares) {
	grantor.advance(now, 0)
	if shares.Number == grantor.number && grantor.number != 0 {
		return
	}
	grantor.number = shares.Number
	for vm := range shares.Shares {
		grantor.member(vm)
	}
	for _, member := range grantor.order {
		member.recorded = shares.Shares[member.vm]
		member.proposed = member.recorded
		member.counted = min(member.counted, member.recorded)
	}
	grantor.order = slices.DeleteFunc(grantor.order, func(member *member) bool {
		if member.recorded == 0 && now-max(member.heard, grantor.started) > forgetAfter {
			delete(grantor.members, member.vm)
			return true
		}
		return false
	})
}

// member returns what is known of an entry VM, or nil if there are too many.
func (grantor *Grantor) member(vm core.VMID) *member {
	known := grantor.members[vm]
	if known == nil && len(grantor.members) < maxMembers {
		known = &member{vm: vm, lent: make(map[core.WorkspaceID]loan)}
		grantor.members[vm] = known
		grantor.order = append(grantor.order, known)
	}
	return known
}

// advance adds the time since the last call to the flow, unless it is shorter than step.
func (grantor *Grantor) advance(now, step time.Duration) {
	if now-grantor.flowAt < max(step, 1) {
		return
	}
	sum := 0.0
	for _, member := range grantor.order {
		if counted := min(now, member.countedUntil) - grantor.flowAt; counted > 0 {
			sum += member.counted.Fraction() * counted.Seconds()
		}
	}
	grantor.flow += sum
	grantor.flowAt = now
}

// rateShare returns the sum of the shares that are counted now.
func (grantor *Grantor) rateShare(now time.Duration) float64 {
	sum := 0.0
	for _, member := range grantor.order {
		if member.countedUntil > now {
			sum += member.counted.Fraction()
		}
	}
	return sum
}

// fill adds the tokens since the last call.
func (bucket *bucket) fill(flow float64) {
	bucket.level = min(capacity(bucket.limit), bucket.level+float64(bucket.limit.Rate)*(flow-bucket.flow))
	bucket.flow = flow
}

// Grant answers a request of an entry VM.
func (grantor *Grantor) Grant(now time.Duration, request Request) Result {
	grantor.advance(now, flowStep)
	member := grantor.member(request.VM)
	if member == nil {
		return Result{}
	}
	grantor.count(now, member, request)
	member.heard = now
	member.answered = max(now, member.answered+1)
	result := Result{
		Stamp:  Stamp{Token: grantor.token, At: member.answered},
		Share:  min(member.recorded, member.proposed, grantor.target(now)),
		Grants: make([]Grant, 0, len(request.Wants)),
	}
	member.stated = max(member.stated, result.Share)
	for _, want := range request.Wants {
		if request.Answered.Token != grantor.token {
			want.Returned = 0 // another grantor has granted these tokens
		}
		result.Grants = append(result.Grants, grantor.grantWant(now, member, want))
	}
	for workspace, loan := range member.lent {
		if now-loan.at > leaseTime {
			delete(member.lent, workspace)
		}
	}
	return result
}

// count counts the share of a VM that states that it has received an answer. The VM adds nothing
// to its own buckets for AttachedTime from then on, thus not for countedTime from the sending.
func (grantor *Grantor) count(now time.Duration, member *member, request Request) {
	member.stated, member.current = request.Share, false
	if request.Answered.Token != grantor.token || request.Answered.At > min(now, member.answered) {
		return
	}
	member.current = request.Answered.At == member.answered
	member.counted = min(request.Share, member.recorded)
	member.countedUntil = max(member.countedUntil, request.Answered.At+countedTime)
}

// debt returns how far a grant may take a bucket below zero.
func (grantor *Grantor) debt(now time.Duration) float64 {
	if now-grantor.started < earlyDebtTime {
		return float64(grantor.earlyDebt)
	}
	return float64(maxDebt)
}

// grantWant takes the tokens for one workspace from its bucket.
func (grantor *Grantor) grantWant(now time.Duration, member *member, want Want) Grant {
	grant := Grant{Workspace: want.Workspace}
	bucket := grantor.buckets[want.Workspace]
	if bucket == nil && grantor.unlimited[want.Workspace] {
		// The VM does not know yet that the limit is gone, or knows one that is not in force everywhere.
		grant.Tokens = want.Waiting + want.Ahead
		return grant
	}
	if bucket == nil {
		// The table of this VM is older than that of the other one, or newer.
		if want.Waiting > 0 {
			grant.RetryAfter = minRetryAfter
		}
		return grant
	}
	bucket.fill(grantor.flow)
	if loan := member.lent[want.Workspace]; want.Returned > 0 && want.ReturnedFrom == loan.at && now-loan.at <= leaseTime {
		bucket.level = min(capacity(bucket.limit), bucket.level+float64(min(want.Returned, loan.tokens)))
		delete(member.lent, want.Workspace)
	}
	debt := grantor.debt(now)
	taken, servesFirst := bucket.take(want, debt)
	if grant.Tokens = taken; taken < want.Waiting {
		first := want.Min
		if servesFirst {
			first = min(want.Waiting-taken, want.Min)
		}
		grant.RetryAfter = grantor.retryAfter(now, bucket, first, want.Waiting-grant.Tokens, debt)
	}
	if lent := min(grant.Tokens, want.Waiting+want.Ahead); lent > 0 {
		member.lent[want.Workspace] = loan{at: member.answered, tokens: lent}
	}
	return grant
}

// take takes the tokens for the waiting requests, then for the likely demand, then for the
// reserve. The first waiting request may leave a debt; if it needs more than that, it gets none, and
// servesFirst is not set.
func (bucket *bucket) take(want Want, debt float64) (taken core.Tokens, servesFirst bool) {
	take := func(tokens core.Tokens, left float64) {
		tokens = min(tokens, core.Tokens(math.Floor(bucket.level-left)))
		if tokens > 0 {
			taken += tokens
			bucket.level -= float64(tokens)
		}
	}
	servesFirst = bucket.level > 0 && bucket.level+debt >= float64(want.Min)
	if servesFirst {
		taken = want.Min
		bucket.level -= float64(want.Min)
	}
	take(want.Waiting-want.Min, 0)
	if taken < want.Waiting {
		return taken, servesFirst
	}
	burst := capacity(bucket.limit)
	take(want.Ahead, aheadLevel*burst)
	if taken == want.Waiting+want.Ahead {
		take(want.Reserve, reserveLevel*burst)
	}
	return taken, servesFirst
}

// retryAfter returns the time after which tokens are available for the first refused request.
func (grantor *Grantor) retryAfter(now time.Duration, bucket *bucket, first, refused core.Tokens, debt float64) time.Duration {
	rate := float64(bucket.limit.Rate)
	if share := grantor.rateShare(now); share > 0 {
		rate *= share
	}
	needed := max(1, float64(first)-debt)
	if needed > capacity(bucket.limit) {
		return maxRetryAfter // never, unless the limit changes
	}
	lacking := needed - bucket.level
	return bucket.returns.after(now, timeFor(lacking, rate), float64(refused), rate)
}

// target returns the share of each VM once all have the same.
func (grantor *Grantor) target(now time.Duration) core.QuotaShare {
	count := 0
	for _, member := range grantor.order {
		if grantor.takesPart(now, member) {
			count++
		}
	}
	return core.WholeQuota / core.QuotaShare(max(1, count))
}

// takesPart reports whether a VM is to have a share: not if it was not heard of for forgetAfter.
// A VM without a recorded share counts once it was heard of.
func (grantor *Grantor) takesPart(now time.Duration, member *member) bool {
	if member.recorded == 0 {
		return member.heard > 0 && now-member.heard <= recentTime
	}
	return now-max(member.heard, grantor.started) <= forgetAfter
}

// Propose returns the shares that are to be recorded, and the number of the version that they
// replace, or false if the recorded ones are right. The share of a VM is lowered once the VM has
// stated a lower one, and raised as far as the sum of all recorded shares allows. A VM is told of a
// larger share only after it was recorded.
func (grantor *Grantor) Propose(now time.Duration) (Shares, bool) {
	target := grantor.target(now)
	next := make(map[core.VMID]core.QuotaShare, len(grantor.order))
	free := core.WholeQuota
	for _, member := range grantor.order {
		share := member.recorded
		switch {
		case !grantor.takesPart(now, member):
			continue
		case share > target && member.current && member.stated <= target:
			share = target
		}
		next[member.vm] = share
		free -= min(free, share)
	}
	for _, member := range grantor.order {
		share, known := next[member.vm]
		if known && share < target && now-member.heard <= recentTime {
			more := min(target-share, free)
			next[member.vm], free = share+more, free-more
		}
	}
	maps.DeleteFunc(next, func(_ core.VMID, share core.QuotaShare) bool { return share == 0 })
	if grantor.isRecorded(next) {
		return Shares{}, false
	}
	for _, member := range grantor.order {
		member.proposed = min(member.proposed, next[member.vm])
	}
	return Shares{Number: grantor.number, Shares: next}, true
}

// isRecorded reports whether the shares are the recorded ones, and no lower one was proposed since: that
// command may be lost or still arrive. The recorded shares are proposed once more then, under a new
// number, after which it has no effect.
func (grantor *Grantor) isRecorded(shares map[core.VMID]core.QuotaShare) bool {
	count := 0
	for _, member := range grantor.order {
		if shares[member.vm] != member.recorded || member.proposed < member.recorded {
			return false
		}
		if member.recorded > 0 {
			count++
		}
	}
	return count == len(shares)
}

// Attached returns the number of VMs whose share the grantor counts as its own, and that of all
// VMs that have a share.
func (grantor *Grantor) Attached(now time.Duration) (attached, known int) {
	for _, member := range grantor.order {
		if member.countedUntil > now && member.counted > 0 {
			attached++
		}
		if member.recorded > 0 {
			known++
		}
	}
	return attached, known
}
