package dispatch

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// group is one upstream group under one fencing token. Its owner's lock guards it.
type group struct {
	id core.GroupID
	// token is that of the ownership in which the scheduler's knowledge was gathered.
	// It is zero before the VM held the lease for the first time.
	token     core.FencingToken
	scheduler *scheduler.Scheduler
	addresses map[core.UpstreamID]string
	announced map[core.UpstreamID]Announced
	tickets   map[core.AttemptID]*ticket
	actions   []scheduler.Action
	timer     *time.Timer
	wakeAt    time.Time
	dropped   bool
	counted   scheduler.Stats
	metrics   *groupMetrics
}

// ticket is a call that waits for its Send or Refuse.
type ticket struct {
	call core.Call
	// actions holds the newest action. A Send that was withdrawn is replaced by the
	// action that follows it.
	actions chan scheduler.Action
}

// group returns the table of a group. A new fencing token means that the group had
// another owner meanwhile, so what was known before is dropped.
func (owner *Owner) group(id core.GroupID, token core.FencingToken) *group {
	entry, known := owner.groups[id]
	if known && token != 0 && entry.token != 0 && entry.token != token {
		owner.drop(entry, time.Now())
		known = false
	}
	if !known {
		entry = &group{
			id: id, scheduler: scheduler.New(owner.config, time.Now()),
			addresses: make(map[core.UpstreamID]string),
			announced: make(map[core.UpstreamID]Announced), tickets: make(map[core.AttemptID]*ticket),
			metrics: newGroupMetrics(id),
		}
		owner.groups[id] = entry
	}
	if token != 0 {
		entry.token = token
	}
	return entry
}

// drop refuses the calls of a group that have not started and forgets the group. The
// calls that run keep its scheduler until they end.
func (owner *Owner) drop(group *group, now time.Time) {
	group.scheduler.Shut(now)
	owner.act(group, now)
	group.dropped = true
	if group.timer != nil {
		group.timer.Stop()
	}
	delete(owner.groups, group.id)
}

// act hands out the actions of a group's scheduler and arms its next tick.
func (owner *Owner) act(group *group, now time.Time) {
	group.actions = group.scheduler.Take(group.actions[:0])
	for _, action := range group.actions {
		switch {
		case action.Kind == scheduler.Refuse:
			group.tell(action)
		case group.dropped:
			// The table that followed gives the orders now.
		case action.Kind == scheduler.Send:
			group.tell(action)
		case action.Kind == scheduler.Load:
			owner.load(group, action)
		case action.Kind == scheduler.Evict:
			owner.evict(group, action)
		}
	}
	group.observe(now)
	owner.arm(group, now)
}

// tell gives an action to the goroutine of its call.
func (group *group) tell(action scheduler.Action) {
	ticket, waits := group.tickets[action.Attempt]
	if !waits {
		return
	}
	select {
	case <-ticket.actions:
	default:
	}
	ticket.actions <- action
}

// arm sets the timer to the next tick that the scheduler wants, if that is earlier
// than the one that is set.
func (owner *Owner) arm(group *group, now time.Time) {
	next, wanted := group.scheduler.NextTick(now)
	if group.dropped || !wanted || (!group.wakeAt.IsZero() && !next.Before(group.wakeAt)) {
		return
	}
	group.wakeAt = next
	if group.timer == nil {
		group.timer = time.AfterFunc(next.Sub(now), func() { owner.jobs.Go(func() { owner.tick(group) }) })
		return
	}
	group.timer.Reset(next.Sub(now))
}

func (owner *Owner) tick(group *group) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if group.dropped {
		return
	}
	now := time.Now()
	group.wakeAt = time.Time{}
	group.scheduler.Tick(now)
	owner.act(group, now)
}
