package lease

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// takenGroup is a group that this VM took over while the zone had no contact to the
// leader. It holds the group until the given time.
type takenGroup struct {
	token core.FencingToken
	until time.Time
}

// counterMask selects the low bits of a fencing token: the counter of takeovers without
// contact to the leader. The higher bits hold the log index of the assignment.
const counterMask = 1<<ledger.FencingShift - 1

// BeginTakeover starts the takeover of a group whose owner has failed while the zone has no
// contact to the leader. It returns the round of consent requests to send, or false if
// a takeover is not allowed now. It is never allowed if the engines of the group do not
// check fencing tokens, because the owner may still be running but unreachable; requests
// for the group are then refused as not run.
func (holder *Holder) BeginTakeover(now time.Time, demand Demand) (ConsentRound, bool) {
	if !demand.ChecksFencing || demand.Group.Kind != core.EngineGroup || !holder.mayTakeOver(now, demand.Group) {
		return ConsentRound{}, false
	}
	token, ok := holder.nextToken(max(demand.Seen, holder.highestTokens[demand.Group], holder.owners[demand.Group].Token))
	if !ok {
		return ConsentRound{}, false
	}
	holder.consent.lastAttempt++
	holder.consent.pendingTakeovers[demand.Group] = holder.consent.lastAttempt
	round := holder.newRound(now, map[core.GroupID]core.FencingToken{demand.Group: token})
	round.attempt = holder.consent.lastAttempt
	return round, true
}

// mayTakeOver reports whether this VM may take over a group: it is not draining, all
// other known VMs of the zone know it, its own consent does not restrict it, it has had
// no contact to the leader for the length of a lease and the margin, and it does not
// hold the group.
func (holder *Holder) mayTakeOver(now time.Time, group core.GroupID) bool {
	if holder.draining || len(holder.uninformedPeers()) > 0 || now.Before(holder.consent.restrictedUntil) {
		return false
	}
	if holder.inContact(now, Length+Margin) {
		return false
	}
	_, _, held := holder.Held(now, group)
	return !held
}

// slotBits is the number of counter bits that identify the VM, because VMs that cannot
// reach each other must not choose the same token. The rank of a VM among the VMs it
// knows is not a substitute: if only one of two VMs knows a third one, both can have the
// same rank.
const (
	slotBits = 10
	slotMask = 1<<slotBits - 1
)

// nextToken returns the smallest token above last whose low bits are this VM's slot. It
// returns false if the counter is exhausted, or if a VM of the zone with a smaller name
// has the same slot.
func (holder *Holder) nextToken(last core.FencingToken) (core.FencingToken, bool) {
	slot := slotOf(holder.self.VM)
	for other := range holder.consent.peers {
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

// slotOf returns the slot of a VM: a hash of its name with slotBits bits.
func slotOf(vm core.VMID) uint64 {
	return rendezvousScore(core.GroupID{}, vm) & slotMask
}

// FinishTakeover applies the replies to a takeover round and reports whether this VM now
// holds the group. One refusal prevents the takeover, because that VM may hold the group
// or have contact to the leader. Unreachable VMs do not prevent it, because the engines
// reject their tokens.
func (holder *Holder) FinishTakeover(now time.Time, round ConsentRound, replies Replies) bool {
	group := round.Groups[0]
	if holder.consent.pendingTakeovers[group] != round.attempt {
		return false // cancelled, because this VM consented to another one
	}
	delete(holder.consent.pendingTakeovers, group)
	end := round.sent.Add(round.Length)
	if replies.Refused > 0 || len(replies.Granted)+replies.Unreachable < len(round.peers) || !holder.mayTakeOver(now, group) || !now.Before(end) {
		return false
	}
	token := round.tokens[group]
	if token <= max(holder.highestTokens[group], holder.owners[group].Token) {
		return false
	}
	holder.highestTokens[group] = token
	holder.takeovers[group] = takenGroup{token, end}
	return true
}

// dropSupersededTakeover deletes the takeover of a group if the leader has assigned the
// group with a larger token.
func (holder *Holder) dropSupersededTakeover(group core.GroupID) {
	if takeover, ok := holder.takeovers[group]; ok && holder.owners[group].Token > takeover.token {
		delete(holder.takeovers, group)
	}
}
