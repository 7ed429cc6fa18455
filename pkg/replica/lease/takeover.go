package lease

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// taken is a group that this VM took over in a cut-off zone.
type taken struct {
	token core.FencingToken
	until time.Time
}

// counterMask covers the counter of a zone below the index of the ownership.
const counterMask = 1<<ledger.FencingShift - 1

// Takeover returns the round that asks for a group whose owner is gone while the
// zone has no contact to the leader. It returns false if the engines of the group
// don't check tokens, since the old owner may only be out of reach; the group's
// requests are then refused as not run.
func (holder *Holder) Takeover(now time.Time, demand Demand) (Round, bool) {
	if !demand.ChecksFencing || demand.Group.Kind != core.EngineGroup || !holder.mayTakeOver(now, demand.Group) {
		return Round{}, false
	}
	token, ok := holder.nextToken(max(demand.Seen, holder.highest[demand.Group], holder.owners[demand.Group].Token))
	if !ok {
		return Round{}, false
	}
	holder.consent.attempt++
	holder.consent.underway[demand.Group] = holder.consent.attempt
	round := holder.round(now, map[core.GroupID]core.FencingToken{demand.Group: token})
	round.attempt = holder.consent.attempt
	return round, true
}

func (holder *Holder) mayTakeOver(now time.Time, group core.GroupID) bool {
	if holder.draining || len(holder.strangers()) > 0 || now.Before(holder.consent.barred) {
		return false
	}
	if holder.inContact(now, Length+Margin) {
		return false
	}
	_, _, held := holder.Held(now, group)
	return !held
}

// slotBits is the part of the counter that tells the VMs of a zone apart. VMs
// that don't reach each other must not draw the same token. A rank among the
// known VMs did not do: two VMs that had not both heard of a third drew the same.
const (
	slotBits = 10
	slotMask = 1<<slotBits - 1
)

// nextToken returns the smallest token above last that is in this VM's slot. It
// returns false if the counter is used up, or if another VM of the zone with a
// smaller name has the slot.
func (holder *Holder) nextToken(last core.FencingToken) (core.FencingToken, bool) {
	slot := slotOf(holder.self.VM)
	for other := range holder.consent.others {
		if other < holder.self.VM && slotOf(other) == slot {
			return 0, false
		}
	}
	counter := uint64(last) & counterMask
	next := counter&^uint64(slotMask) | slot
	if next <= counter {
		next += 1 << slotBits
	}
	if next > counterMask {
		return 0, false
	}
	return core.FencingToken(uint64(last)&^uint64(counterMask) | next), true
}

func slotOf(vm core.VMID) uint64 {
	return rendezvous(core.GroupID{}, vm) & slotMask
}

// TakenOver applies the replies to a Takeover round and reports whether the group
// is now this VM's. A VM that refuses holds the group or reaches the leader. VMs
// that can't be reached have no say: the engines refuse their tokens.
func (holder *Holder) TakenOver(now time.Time, round Round, replies Replies) bool {
	group := round.Groups[0]
	if holder.consent.underway[group] != round.attempt {
		return false // called off by a consent to another VM
	}
	delete(holder.consent.underway, group)
	end := round.asked.Add(round.Length)
	if replies.Refused > 0 || len(replies.Granted)+replies.Unreachable < len(round.others) || !holder.mayTakeOver(now, group) || !now.Before(end) {
		return false
	}
	token := round.tokens[group]
	if token <= max(holder.highest[group], holder.owners[group].Token) {
		return false
	}
	holder.highest[group] = token
	holder.takeover[group] = taken{token, end}
	return true
}

// forgetTakeover drops a takeover that a later ownership of the leader replaces.
func (holder *Holder) forgetTakeover(group core.GroupID) {
	if took, ok := holder.takeover[group]; ok && holder.owners[group].Token > took.token {
		delete(holder.takeover, group)
	}
}
