package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/routing"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// engine sends commands and calls to model engines.
type engine interface {
	Load(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) (core.Incarnation, error)
	Evict(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) error
	Run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, error)
	// Cancel returns nil once the engine confirmed that the attempt has ended.
	Cancel(ctx context.Context, address string, attempt core.AttemptID) error
	// Ask returns the incarnation with which the engine answers a question on a new
	// connection.
	Ask(ctx context.Context, address string) (core.Incarnation, error)
}

// service sends calls to plain services.
type service interface {
	Call(ctx context.Context, address string, upstream core.UpstreamID, call core.Call, send func(core.Chunk) error) error
}

// leases returns the lease of this VM on a group.
type leases interface {
	// Lease returns the fencing token and the expiry of the lease. held is false if
	// this VM does not own the group.
	Lease(group core.GroupID) (token core.FencingToken, until time.Time, held bool)
}

// Upstreams is the client for the engines and services of a group.
type Upstreams interface {
	engine
	service
	// Ejected reports whether the upstream at the address failed and gets no new
	// calls or loads at present.
	Ejected(address string) bool
}

// jobRunner runs jobs that are started by a timer or a message.
type jobRunner interface {
	Go(job func())
}

// Owner queues and sends the calls of the groups that this VM owns.
type Owner struct {
	leases    leases
	upstreams Upstreams
	jobs      jobRunner
	config    scheduler.Config
	logger    *log.Logger

	// mutex is lock 2 in the lock order of the VM. It guards groups, the state of
	// each group and attempts.
	mutex  sync.Mutex
	groups map[core.GroupID]*group
	// attempts is guarded by mutex.
	attempts attempts
}

// New returns an Owner without groups. Each group uses the load budget of config
// until SetBudget changes it.
func New(leases leases, upstreams Upstreams, jobs jobRunner, config scheduler.Config, logger *log.Logger) *Owner {
	return &Owner{
		leases: leases, upstreams: upstreams, jobs: jobs, config: config, logger: logger,
		groups: make(map[core.GroupID]*group),
	}
}

// Announce records an announcement and passes it to the scheduler of its group. While
// an upstream is ejected after failures, it is reported to the scheduler as lost.
func (owner *Owner) Announce(announcement core.Announcement) {
	token := owner.currentToken(announcement.Group)
	ejected := owner.upstreams.Ejected(announcement.Address)
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	group := owner.groupFor(announcement.Group, token)
	now := clock.Time()
	group.announced[announcement.Upstream] = Announced{Announcement: announcement, At: now}
	switch {
	case ejected:
		group.scheduler.UpstreamLost(announcement.Upstream, announcement.Incarnation, now)
	case !group.mayOrder(announcement):
		if token != 0 {
			owner.startQuestions(group, announcement)
		}
		return
	default:
		group.addAnnounced(announcement, now)
	}
	owner.applyActions(group, now)
}

// ApplyCacheEvents passes prefix cache events of an engine to the scheduler of every
// group. A scheduler ignores events of an engine or an incarnation that it does not
// know.
func (owner *Owner) ApplyCacheEvents(id core.UpstreamID, incarnation core.Incarnation, events []routing.CacheEvent) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	for _, group := range owner.groups {
		group.scheduler.ApplyCacheEvents(id, incarnation, events)
	}
}

// SetBudget sets the share of the weight store's load limit that a group may use.
func (owner *Owner) SetBudget(id core.GroupID, share budget.Share) {
	token := owner.currentToken(id)
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	group := owner.groupFor(id, token)
	now := clock.Time()
	group.scheduler.SetBudget(share, now)
	owner.applyActions(group, now)
}

// ExpectedWait returns the expected time to the first token of a call that arrives in the
// group now and needs no load. It returns false if this VM holds no state of the
// group. The value is intended for the choice between zones.
func (owner *Owner) ExpectedWait(id core.GroupID) (time.Duration, bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	group, known := owner.groups[id]
	if !known {
		return 0, false
	}
	return group.scheduler.Summary(clock.Time()).Wait, true
}

// RemoveGroup removes a group. Calls that were not sent are refused; calls in flight
// continue to their end.
func (owner *Owner) RemoveGroup(id core.GroupID) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if group, known := owner.groups[id]; known {
		owner.remove(group, clock.Time())
	}
}

// currentToken returns the fencing token of a group, or zero if this VM does not hold
// the lease. It must be called before mutex is taken, since the session's table that
// it reads is lock 1.
func (owner *Owner) currentToken(id core.GroupID) core.FencingToken {
	token, until, held := owner.leases.Lease(id)
	if !held || !clock.Time().Before(until) {
		return 0
	}
	return token
}

// checkLease returns the fencing token of a group, or a refusal with the code
// not_owner if this VM does not hold the lease. It compares the expiry with the
// current time, so a VM that was suspended finds that its lease has expired.
func (owner *Owner) checkLease(id core.GroupID) (core.FencingToken, *core.Refusal) {
	token, until, held := owner.leases.Lease(id)
	if !held || !clock.Time().Before(until) {
		return 0, core.NewRefusal(core.CodeNotOwner, "this VM does not hold the lease of group "+id.String())
	}
	return token, nil
}
