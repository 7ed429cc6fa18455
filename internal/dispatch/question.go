package dispatch

import (
	"context"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// question is the state of the questions that an owner asks an engine which does not check
// fencing tokens. A call of the former owner may still be unread at an engine that was
// stopped. Lease and margin do not cover that, so the engine gets no order before it has
// answered twice: the first answer shows that it runs, and in the time until the second one
// it reads what had arrived before.
type question struct {
	incarnation core.Incarnation
	token       core.FencingToken
	answered    bool
}

const (
	// questionInterval is the time between the two questions. A running engine reads what
	// has arrived within some milliseconds.
	questionInterval = 200 * time.Millisecond
	// questionTimeout bounds the wait for one answer. The next announcement starts the
	// questions again.
	questionTimeout = time.Second
)

// mayOrder reports whether the engine of an announcement may get orders of this owner.
func (group *group) mayOrder(announcement core.Announcement) bool {
	if announcement.ChecksFencing || announcement.Group.Kind != core.EngineGroup {
		return true
	}
	asked := group.questions[announcement.Upstream]
	return group.token != 0 && asked.answered && asked.token == group.token && asked.incarnation == announcement.Incarnation
}

// addAnnounced passes an announcement to the scheduler.
func (group *group) addAnnounced(announcement core.Announcement, now time.Time) {
	group.addresses[announcement.Upstream] = announcement.Address
	group.scheduler.Announced(announcement, now)
}

// startQuestions asks the engine of an announcement, unless it is being asked. This VM owns
// the group, and the caller holds the mutex.
func (owner *Owner) startQuestions(group *group, announcement core.Announcement) {
	asked := question{incarnation: announcement.Incarnation, token: group.token}
	if group.questions[announcement.Upstream] == asked {
		return
	}
	group.questions[announcement.Upstream] = asked
	owner.jobs.Go(func() {
		answered := owner.askTwice(announcement)
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		if group.questions[announcement.Upstream] != asked {
			return
		}
		if !answered {
			delete(group.questions, announcement.Upstream)
			return
		}
		asked.answered = true
		group.questions[announcement.Upstream] = asked
		now := clock.Time()
		if latest := group.announced[announcement.Upstream].Announcement; !group.removed && group.mayOrder(latest) {
			group.addAnnounced(latest, now)
			owner.applyActions(group, now)
		}
	})
}

// askTwice reports whether the engine of an announcement has answered two questions.
func (owner *Owner) askTwice(announcement core.Announcement) bool {
	for remaining := 2; ; {
		ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
		incarnation, err := owner.upstreams.Ask(ctx, announcement.Address)
		cancel()
		if err != nil || incarnation != announcement.Incarnation {
			return false
		}
		if remaining--; remaining == 0 {
			return true
		}
		<-time.After(questionInterval)
	}
}
