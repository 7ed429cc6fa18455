package session

import (
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
)

// takeoverInterval is the interval between two attempts to take over groups.
const takeoverInterval = time.Second

// Round is one consent request to the other VMs of the zone, together with the
// function that applies their replies.
type Round struct {
	lease.ConsentRound
	apply func(now time.Time, replies lease.Replies)
}

// WireRequest returns the wire request of the round.
func (round Round) WireRequest() *wire.Request {
	return &wire.Request{Body: &wire.Request_Consent{Consent: consentToWire(round.ConsentRequest)}}
}

// Consent answers a consent request of another VM of the zone.
func (node *Node) Consent(now time.Time, message *wire.Consent) *wire.ConsentResult {
	number := node.Index().Number()
	node.lock.Lock()
	defer node.lock.Unlock()
	granted, reason := node.holder.Consent(now, consentFromWire(message))
	return &wire.ConsentResult{Granted: granted, Reason: reason, ConfigNumber: uint64(number)}
}

// Rounds returns the consent requests to send at now: the introduction after a start,
// the request to keep the owned groups, and the takeover of wanted groups without an
// owner.
func (node *Node) Rounds(now time.Time, demands []lease.Demand) []Round {
	node.lock.Lock()
	defer node.lock.Unlock()
	var rounds []Round
	if round, ok := node.holder.BeginIntroduction(now); ok {
		rounds = append(rounds, Round{round, node.holder.FinishIntroduction})
	}
	if round, ok := node.holder.BeginExtension(now); ok {
		rounds = append(rounds, Round{round, func(now time.Time, replies lease.Replies) { node.holder.FinishExtension(now, round, replies) }})
	}
	if now.Sub(node.lastTakeovers) < takeoverInterval {
		return rounds
	}
	node.lastTakeovers = now
	for _, demand := range demands {
		if demand.Group.Zone != node.zone || !demand.Wanted {
			continue
		}
		if round, ok := node.holder.BeginTakeover(now, demand); ok {
			rounds = append(rounds, Round{round, func(now time.Time, replies lease.Replies) { node.holder.FinishTakeover(now, round, replies) }})
		}
	}
	return rounds
}

// ApplyReplies applies the replies to a round.
func (node *Node) ApplyReplies(now time.Time, round Round, replies lease.Replies) {
	node.lock.Lock()
	defer node.lock.Unlock()
	round.apply(now, replies)
}

// Others returns the other known VMs of the zone.
func (node *Node) Others() []core.VMID {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.holder.Peers()
}
