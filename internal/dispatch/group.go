package dispatch

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// group is the state of one upstream group under one fencing token. The mutex of
// Owner guards it.
type group struct {
	id core.GroupID
	// token is the fencing token under which the state of the scheduler was collected.
	// It is zero until this VM first holds the lease.
	token     core.FencingToken
	scheduler *scheduler.Scheduler
	addresses map[core.UpstreamID]string
	announced map[core.UpstreamID]Announced
	pending   map[core.AttemptID]*pendingCall
	// questions holds, for engines that do not check fencing tokens, whether they have
	// answered this owner.
	questions map[core.UpstreamID]question
	actions   []scheduler.Action
	timer     *time.Timer
	// tickAt is the time for which timer is set, or zero if no tick is scheduled.
	tickAt  time.Time
	removed bool
	// reportedStats are the counts of the scheduler at the last update of metrics.
	reportedStats scheduler.Stats
	metrics       *groupMetrics
}

// pendingCall is a call that waits for a Send or Refuse action.
type pendingCall struct {
	call core.Call
	// actions is a buffer for one action, the latest. If a Send is no longer valid,
	// the action that follows replaces it.
	actions chan scheduler.Action
}

// groupFor returns the state of a group and creates it if needed. A token other than
// the stored one means that the ownership changed in between, so the old state is
// discarded.
func (owner *Owner) groupFor(id core.GroupID, token core.FencingToken) *group {
	entry, known := owner.groups[id]
	if known && token != 0 && entry.token != 0 && entry.token != token {
		owner.remove(entry, clock.Time())
		known = false
	}
	if !known {
		entry = &group{
			id: id, scheduler: scheduler.New(owner.config, clock.Time()),
			addresses: make(map[core.UpstreamID]string),
			announced: make(map[core.UpstreamID]Announced), pending: make(map[core.AttemptID]*pendingCall),
			questions: make(map[core.UpstreamID]question),
			metrics:   newGroupMetrics(id),
		}
		owner.groups[id] = entry
	}
	if token != 0 {
		entry.token = token
	}
	return entry
}

// remove refuses the calls of a group that were not sent and deletes its state. Calls
// in flight keep the scheduler until they end.
func (owner *Owner) remove(group *group, now time.Time) {
	group.scheduler.RefuseUnstarted(now)
	owner.applyActions(group, now)
	group.removed = true
	if group.timer != nil {
		group.timer.Stop()
	}
	delete(owner.groups, group.id)
}

// applyActions carries out the pending actions of a group's scheduler, updates the
// metrics and schedules the next tick.
func (owner *Owner) applyActions(group *group, now time.Time) {
	group.actions = group.scheduler.TakeActions(group.actions[:0])
	for _, action := range group.actions {
		switch {
		case action.Kind == scheduler.Refuse:
			group.deliver(action)
		case group.removed:
			// The current state of the group, if any, sends the commands and calls.
		case action.Kind == scheduler.Send:
			group.deliver(action)
		case action.Kind == scheduler.Load:
			owner.startLoad(group, action)
		case action.Kind == scheduler.Evict:
			owner.startEviction(group, action)
		}
	}
	group.observe(now)
	owner.scheduleTick(group, now)
}

// deliver passes an action to the goroutine of its call and replaces an action that
// the goroutine has not received yet.
func (group *group) deliver(action scheduler.Action) {
	call, isPending := group.pending[action.Attempt]
	if !isPending {
		return
	}
	select {
	case <-call.actions:
	default:
	}
	call.actions <- action
}

// scheduleTick sets the timer to the next tick that the scheduler needs, unless the
// timer is already set to the same or an earlier time.
func (owner *Owner) scheduleTick(group *group, now time.Time) {
	next, wanted := group.scheduler.NextTick(now)
	if group.removed || !wanted || (!group.tickAt.IsZero() && !next.Before(group.tickAt)) {
		return
	}
	group.tickAt = next
	if group.timer == nil {
		group.timer = time.AfterFunc(next.Sub(now), func() { owner.jobs.Go(func() { owner.tick(group) }) })
		return
	}
	group.timer.Reset(next.Sub(now))
}

// tick runs the time-dependent work of a group's scheduler.
func (owner *Owner) tick(group *group) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if group.removed {
		return
	}
	now := clock.Time()
	group.tickAt = time.Time{}
	group.scheduler.Tick(now)
	owner.applyActions(group, now)
}
