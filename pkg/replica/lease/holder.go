package lease

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Holder is the part of the leases on one VM. All times are readings of the VM's
// monotonic clock, and every use of a right checks the time again, so a VM that
// was frozen finds its rights ended.
type Holder struct {
	self    Member
	budget  Budget
	started time.Time
	// sequence is the last renewal sent, accepted the last one answered.
	sequence uint64
	accepted uint64
	sent     map[uint64]time.Time
	// until is the end of the lease; contact the receipt of the last one.
	until      time.Time
	contact    time.Time
	share      Share
	shareUntil time.Time
	// directory numbers the owners. Both only ever move forward.
	directory uint64
	owners    Owners
	// highest holds the largest token known of each group, from engines and from
	// other VMs of the zone.
	highest  map[core.GroupID]core.FencingToken
	draining bool
	zoneHash uint64
	consent  consent
	takeover map[core.GroupID]taken
}

// Answer is the leader's answer to a renewal.
type Answer struct {
	Sequence uint64
	Granted  bool
	Length   time.Duration
	// Directory is the number of the owners that the leader had when it answered.
	Directory uint64
	// Share is the part of the budget above the minimum shares of the groups held.
	Share Share
}

// sentLimit bounds the renewals whose answers are still awaited; an older answer
// could extend no lease.
const sentLimit = 2 * Length

// NewHolder returns the holder of a VM that has just started. Others are the other
// VMs of its zone in its settings. It accepts no
// ownership at first, because an earlier run of the VM may have consented.
func NewHolder(now time.Time, self Member, budget Budget, others ...core.VMID) *Holder {
	holder := &Holder{
		self:     self,
		budget:   budget,
		started:  now,
		sent:     make(map[uint64]time.Time),
		owners:   make(Owners),
		highest:  make(map[core.GroupID]core.FencingToken),
		consent:  newConsent(now),
		takeover: make(map[core.GroupID]taken),
	}
	for _, other := range others {
		holder.Meet(now, other)
	}
	holder.zoneHash = hashZone(append(holder.Others(), self.VM))
	return holder
}

func hashZone(vms []core.VMID) uint64 {
	slices.Sort(vms)
	sum := fnv.New64a()
	for _, vm := range vms {
		_, _ = sum.Write([]byte(string(vm) + "\x00"))
	}
	return sum.Sum64()
}

// Acquaintance returns the hash of the zone's VMs in the settings, and the VMs of the
// zone that have not heard of this run.
func (holder *Holder) Acquaintance() (zoneHash uint64, strangers []core.VMID) {
	return holder.zoneHash, holder.strangers()
}

// Send returns the sequence of the renewal that is sent now, and the largest
// sequence that was answered.
func (holder *Holder) Send(now time.Time) (sequence, answered uint64) {
	for old, at := range holder.sent {
		if now.Sub(at) > sentLimit {
			delete(holder.sent, old)
		}
	}
	holder.sequence++
	holder.sent[holder.sequence] = now
	return holder.sequence, holder.accepted
}

// Learn replaces the owners if the number is larger than the last one. It reports
// whether it did.
func (holder *Holder) Learn(number uint64, owners Owners) bool {
	if number <= holder.directory {
		return false
	}
	holder.directory = number
	holder.owners = owners
	for group := range owners {
		if group.Kind == core.EngineGroup {
			holder.forgetTakeover(group)
		}
	}
	return true
}

// Answered applies an answer. The caller learns the owners of the answer first. A
// late answer, and one whose owners were not learned, extends nothing. It reports
// whether the answer was in time.
func (holder *Holder) Answered(now time.Time, answer Answer) bool {
	sent, ok := holder.sent[answer.Sequence]
	if !ok || answer.Sequence <= holder.accepted {
		return false
	}
	holder.accepted = answer.Sequence
	delete(holder.sent, answer.Sequence)
	if !answer.Granted || holder.directory < answer.Directory {
		return true
	}
	end := sent.Add(min(answer.Length, Length))
	holder.until = later(holder.until, end)
	holder.contact = now
	holder.share = answer.Share
	holder.shareUntil = end
	return true
}

// Seen records a token of the group. An owner with a smaller token no longer
// counts itself as the owner; it gets a fresh one when it reports Highest.
func (holder *Holder) Seen(group core.GroupID, token core.FencingToken) {
	holder.highest[group] = max(holder.highest[group], token)
}

// Highest returns the largest token known of the group.
func (holder *Holder) Highest(group core.GroupID) core.FencingToken {
	return holder.highest[group]
}

// Drain gives up every group for the rest of this run of the VM.
func (holder *Holder) Drain() {
	holder.draining = true
}

// Draining reports whether Drain was called.
func (holder *Holder) Draining() bool {
	return holder.draining
}

// Held returns the fencing token of the group and the end of the right to use it.
func (holder *Holder) Held(now time.Time, group core.GroupID) (core.FencingToken, time.Time, bool) {
	if holder.draining {
		return 0, time.Time{}, false
	}
	if took, ok := holder.takeover[group]; ok && now.Before(took.until) && took.token >= holder.highest[group] {
		return took.token, took.until, true
	}
	owned, ok := holder.owners[group]
	if !ok || memberOf(owned) != holder.self || owned.Token < holder.highest[group] {
		return 0, time.Time{}, false
	}
	if !holder.consent.allows(now, owned) {
		return 0, time.Time{}, false
	}
	end := later(holder.until, holder.consent.end(owned))
	if !now.Before(end) {
		return 0, time.Time{}, false
	}
	return owned.Token, end, true
}

// Holding returns the groups that Held reports, with their tokens.
func (holder *Holder) Holding(now time.Time) map[core.GroupID]core.FencingToken {
	holding := make(map[core.GroupID]core.FencingToken)
	for group := range holder.owners {
		if token, _, ok := holder.Held(now, group); ok {
			holding[group] = token
		}
	}
	for group := range holder.takeover {
		if token, _, ok := holder.Held(now, group); ok {
			holding[group] = token
		}
	}
	return holding
}

// Share returns the part of the store's budget that the VM may use now: the
// minimum shares of the engine groups it holds, and the leased share above them.
func (holder *Holder) Share(now time.Time) Share {
	if holder.draining {
		return Share{}
	}
	engines := 0
	for group, token := range holder.Holding(now) {
		// The owner that a takeover replaces may still use the minimum share.
		if group.Kind == core.EngineGroup && holder.owners[group].Token == token {
			engines++
		}
	}
	share := holder.budget.Floor().times(engines)
	if now.Before(holder.shareUntil) {
		share = share.plus(holder.share)
	}
	return share
}

// Leased reports whether the VM has a lease from the leader.
func (holder *Holder) Leased(now time.Time) bool {
	return now.Before(holder.until)
}

// LastContact returns the time of the last lease from the leader, or the start of
// the VM if there was none.
func (holder *Holder) LastContact() time.Time {
	return later(holder.contact, holder.started)
}

// Directory returns the number of the owners that the VM knows.
func (holder *Holder) Directory() uint64 {
	return holder.directory
}

// Owner returns the owner of a group as far as the VM knows.
func (holder *Holder) Owner(now time.Time, group core.GroupID) (core.VMID, bool) {
	if _, _, ok := holder.Held(now, group); ok {
		return holder.self.VM, true
	}
	owned, ok := holder.owners[group]
	if other, known := holder.consent.elsewhere[group]; known && now.Before(other.until) {
		return other.vm, true
	}
	return owned.VM, ok
}

// Owners returns the owners that the VM knows. The caller must not change them.
func (holder *Holder) Owners() Owners {
	return holder.owners
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
