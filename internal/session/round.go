package session

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
)

// takeoverInterval is the time between two attempts to take groups over.
const takeoverInterval = time.Second

// Round is one round of questions to the other VMs of the zone, and what is to be
// done with the replies.
type Round struct {
	lease.Round
	done func(now time.Time, replies lease.Replies)
}

// Message returns the question.
func (round Round) Message() *wire.Request {
	return &wire.Request{Body: &wire.Request_Consent{Consent: consentMessage(round.Request)}}
}

// Consent answers the question of another VM of the zone.
func (node *Node) Consent(now time.Time, message *wire.Consent) *wire.ConsentResult {
	number := node.Book().Number()
	node.lock.Lock()
	defer node.lock.Unlock()
	granted, reason := node.holder.Consent(now, consentOf(message))
	return &wire.ConsentResult{Granted: granted, Reason: reason, ConfigNumber: uint64(number)}
}

// Rounds returns the questions to ask now: the introduction of a started VM, the
// consent to keep the groups, and the takeover of a wanted group without an owner.
func (node *Node) Rounds(now time.Time, demands []lease.Demand) []Round {
	node.lock.Lock()
	defer node.lock.Unlock()
	var rounds []Round
	if round, ok := node.holder.Introduction(now); ok {
		rounds = append(rounds, Round{round, node.holder.Introduced})
	}
	if round, ok := node.holder.Keep(now); ok {
		rounds = append(rounds, Round{round, func(now time.Time, replies lease.Replies) { node.holder.Kept(now, round, replies) }})
	}
	if now.Sub(node.takeoversAt) < takeoverInterval {
		return rounds
	}
	node.takeoversAt = now
	for _, demand := range demands {
		if demand.Group.Zone != node.zone || !demand.Wanted {
			continue
		}
		if round, ok := node.holder.Takeover(now, demand); ok {
			rounds = append(rounds, Round{round, func(now time.Time, replies lease.Replies) { node.holder.TakenOver(now, round, replies) }})
		}
	}
	return rounds
}

// Finish applies the replies to a round.
func (node *Node) Finish(now time.Time, round Round, replies lease.Replies) {
	node.lock.Lock()
	defer node.lock.Unlock()
	round.done(now, replies)
}

// Others returns the other VMs of the zone that this VM knows.
func (node *Node) Others() []core.VMID {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.holder.Others()
}
