package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/routing"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// engine gives orders and calls to model engines.
type engine interface {
	Load(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) (core.Incarnation, error)
	Evict(ctx context.Context, address string, adapter core.AdapterVersion, token core.FencingToken) error
	Run(ctx context.Context, address string, call core.Call, token core.FencingToken, send func(core.Chunk) error) (core.Tokens, error)
	// Cancel returns nil once the engine confirmed that the attempt has ended.
	Cancel(ctx context.Context, address string, attempt core.AttemptID) error
}

// service passes calls to plain services.
type service interface {
	Call(ctx context.Context, address string, upstream core.UpstreamID, call core.Call, send func(core.Chunk) error) error
}

// leases tells which groups this VM owns.
type leases interface {
	Lease(group core.GroupID) (token core.FencingToken, until time.Time, held bool)
}

// Upstreams are the ways to reach the upstreams of a group.
type Upstreams interface {
	engine
	service
	// Ejected reports whether an upstream failed and gets no new work for now.
	Ejected(address string) bool
}

// jobs runs work that follows from a timer or a message.
type jobs interface {
	Go(job func())
}

// Owner dispatches the calls of the groups that this VM owns.
type Owner struct {
	leases    leases
	upstreams Upstreams
	jobs      jobs
	config    scheduler.Config
	logger    *log.Logger

	// mutex is lock 2 of the VM. It guards groups and everything below them.
	mutex  sync.Mutex
	groups map[core.GroupID]*group
	// attempts is guarded by mutex.
	attempts attempts
}

// New returns an owner without groups. Every group starts with the budget of config
// until SetBudget changes it.
func New(leases leases, upstreams Upstreams, jobs jobs, config scheduler.Config, logger *log.Logger) *Owner {
	return &Owner{
		leases: leases, upstreams: upstreams, jobs: jobs, config: config, logger: logger,
		groups: make(map[core.GroupID]*group),
	}
}

// Announce takes an upstream's announcement into its group. An upstream that is
// ejected after failures counts as lost until its time is over.
func (owner *Owner) Announce(announcement core.Announcement) {
	token := owner.present(announcement.Group)
	ejected := owner.upstreams.Ejected(announcement.Address)
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	group := owner.group(announcement.Group, token)
	now := time.Now()
	group.announced[announcement.Upstream] = Announced{Announcement: announcement, At: now}
	if ejected {
		group.scheduler.Lose(announcement.Upstream, announcement.Incarnation, now)
	} else {
		group.addresses[announcement.Upstream] = announcement.Address
		group.scheduler.Announce(announcement, now)
	}
	owner.act(group, now)
}

// CacheEvents takes an engine's cache events into every group that knows it.
func (owner *Owner) CacheEvents(id core.UpstreamID, incarnation core.Incarnation, events []routing.CacheEvent) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	for _, group := range owner.groups {
		group.scheduler.CacheEvents(id, incarnation, events)
	}
}

// SetBudget changes a group's share of the store's limit.
func (owner *Owner) SetBudget(id core.GroupID, share budget.Share) {
	token := owner.present(id)
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	group := owner.group(id, token)
	now := time.Now()
	group.scheduler.SetBudget(share, now)
	owner.act(group, now)
}

// Expected returns the expected wait for an upstream in a group of this VM, for the
// choice between zones.
func (owner *Owner) Expected(id core.GroupID) (time.Duration, bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	group, known := owner.groups[id]
	if !known {
		return 0, false
	}
	return group.scheduler.Summary(time.Now()).Wait, true
}

// Release gives up a group: calls that did not start are refused, those that run end
// normally.
func (owner *Owner) Release(id core.GroupID) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if group, known := owner.groups[id]; known {
		owner.drop(group, time.Now())
	}
}

// present returns the group's fencing token, or zero if this VM holds no lease. The
// session's table is lock 1, so it is asked before lock 2 is taken.
func (owner *Owner) present(id core.GroupID) core.FencingToken {
	token, until, held := owner.leases.Lease(id)
	if !held || !time.Now().Before(until) {
		return 0
	}
	return token
}

// token returns the fencing token of a group, checked against the clock at the time
// of the call, so that a VM that was frozen finds its lease expired.
func (owner *Owner) token(id core.GroupID) (core.FencingToken, *core.Refusal) {
	token, until, held := owner.leases.Lease(id)
	if !held || !time.Now().Before(until) {
		return 0, core.Refuse(core.CodeNotOwner, "this VM does not hold the lease of group "+id.String())
	}
	return token, nil
}
