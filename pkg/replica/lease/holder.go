package lease

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Holder is the lease state of one VM. All times are readings of the VM's monotonic
// clock. Every use of an ownership checks the time again, so a VM that was suspended
// finds its ownerships expired.
type Holder struct {
	self    Member
	budget  Budget
	started time.Time
	// sequence is the number of the last renewal sent, and accepted that of the last one
	// whose answer was received.
	sequence uint64
	accepted uint64
	// sent holds the times at which the unanswered renewals were sent, by sequence number.
	sent map[uint64]time.Time
	// leaseEnd is the end of the lease, and lastContact the time when the last lease was
	// received.
	leaseEnd    time.Time
	lastContact time.Time
	// share is the leased share, and shareEnd the end of its lease.
	share    Share
	shareEnd time.Time
	// directoryNumber is the number of the directory that owners come from; see
	// ledger.State.DirectoryNumber. Owners are never replaced by those of a lower number.
	directoryNumber uint64
	owners          Owners
	// highestTokens holds the largest known token of each group, as reported by engines
	// and other VMs of the zone.
	highestTokens map[core.GroupID]core.FencingToken
	draining      bool
	zoneHash      uint64
	consent       consentState
	takeovers     map[core.GroupID]takenGroup
}

// Answer is the leader's answer to a renewal.
type Answer struct {
	Sequence uint64
	Granted  bool
	Length   time.Duration
	// Directory is the number of the leader's directory when it answered.
	Directory uint64
	// Share is the leased share, in addition to the minimum shares of the groups held.
	Share Share
}

// maxPendingAge is the time after which an unanswered renewal is forgotten. A later
// answer could not extend a lease.
const maxPendingAge = 2 * Length

// NewHolder returns the Holder of a VM that has just started. Others are the other VMs
// of its zone in its settings. The Holder accepts no ownership for at least
// ConsentLength plus Margin, because an earlier incarnation of the VM may have granted
// consent.
func NewHolder(now time.Time, self Member, budget Budget, others ...core.VMID) *Holder {
	holder := &Holder{
		self:          self,
		budget:        budget,
		started:       now,
		sent:          make(map[uint64]time.Time),
		owners:        make(Owners),
		highestTokens: make(map[core.GroupID]core.FencingToken),
		consent:       newConsent(now),
		takeovers:     make(map[core.GroupID]takenGroup),
	}
	for _, other := range others {
		holder.AddPeer(now, other)
	}
	holder.zoneHash = hashZone(append(holder.Peers(), self.VM))
	return holder
}

// hashZone returns a hash of a set of VM names. It sorts vms in place.
func hashZone(vms []core.VMID) uint64 {
	slices.Sort(vms)
	sum := fnv.New64a()
	for _, vm := range vms {
		_, _ = sum.Write([]byte(string(vm) + "\x00"))
	}
	return sum.Sum64()
}

// ZoneStatus returns the hash of the VMs of the zone in the settings, and the known VMs
// of the zone that may not know this incarnation.
func (holder *Holder) ZoneStatus() (zoneHash uint64, uninformed []core.VMID) {
	return holder.zoneHash, holder.uninformedPeers()
}

// BeginRenewal records that a renewal is sent now. It returns the sequence number of the
// renewal and the largest sequence number whose answer was received.
func (holder *Holder) BeginRenewal(now time.Time) (sequence, answered uint64) {
	for old, at := range holder.sent {
		if now.Sub(at) > maxPendingAge {
			delete(holder.sent, old)
		}
	}
	holder.sequence++
	holder.sent[holder.sequence] = now
	return holder.sequence, holder.accepted
}

// UpdateOwners replaces the owners if number is larger than the current directory number.
// It reports whether it replaced them.
func (holder *Holder) UpdateOwners(number uint64, owners Owners) bool {
	if number <= holder.directoryNumber {
		return false
	}
	holder.directoryNumber = number
	holder.owners = owners
	for group := range owners {
		if group.Kind == core.EngineGroup {
			holder.dropSupersededTakeover(group)
		}
	}
	return true
}

// HandleAnswer applies the leader's answer to a renewal. The caller must call
// UpdateOwners with the owners of the answer first; an answer with a larger directory
// number than that of the known owners does not extend the lease, nor does a late answer.
// HandleAnswer reports whether the answer was in time.
func (holder *Holder) HandleAnswer(now time.Time, answer Answer) bool {
	sent, ok := holder.sent[answer.Sequence]
	if !ok || answer.Sequence <= holder.accepted {
		return false
	}
	holder.accepted = answer.Sequence
	delete(holder.sent, answer.Sequence)
	if !answer.Granted || holder.directoryNumber < answer.Directory {
		return true
	}
	end := sent.Add(min(answer.Length, Length))
	holder.leaseEnd = later(holder.leaseEnd, end)
	holder.lastContact = now
	holder.share = answer.Share
	holder.shareEnd = end
	return true
}

// ObserveToken records that a token of the group exists. If this VM is the owner with a
// smaller token, it stops acting as the owner until the leader, to which it reports
// HighestToken, assigns it a new token.
func (holder *Holder) ObserveToken(group core.GroupID, token core.FencingToken) {
	holder.highestTokens[group] = max(holder.highestTokens[group], token)
}

// HighestToken returns the largest token that was passed to ObserveToken or used in a
// takeover for the group, and zero if there is none.
func (holder *Holder) HighestToken(group core.GroupID) core.FencingToken {
	return holder.highestTokens[group]
}

// Drain gives up all groups until the VM restarts.
func (holder *Holder) Drain() {
	holder.draining = true
}

// Draining reports whether Drain was called.
func (holder *Holder) Draining() bool {
	return holder.draining
}

// Held returns the fencing token of the group and the end of the ownership. It returns
// false if this VM does not hold the group now.
func (holder *Holder) Held(now time.Time, group core.GroupID) (core.FencingToken, time.Time, bool) {
	if holder.draining {
		return 0, time.Time{}, false
	}
	if takeover, ok := holder.takeovers[group]; ok && now.Before(takeover.until) && takeover.token >= holder.highestTokens[group] {
		return takeover.token, takeover.until, true
	}
	owned, ok := holder.owners[group]
	if !ok || memberOf(owned) != holder.self || owned.Token < holder.highestTokens[group] {
		return 0, time.Time{}, false
	}
	if !holder.consent.allows(now, owned) {
		return 0, time.Time{}, false
	}
	end := later(holder.leaseEnd, holder.consent.extensionEnd(owned))
	if !now.Before(end) {
		return 0, time.Time{}, false
	}
	return owned.Token, end, true
}

// HeldGroups returns the groups that this VM holds now, with their fencing tokens.
func (holder *Holder) HeldGroups(now time.Time) map[core.GroupID]core.FencingToken {
	heldGroups := make(map[core.GroupID]core.FencingToken)
	for group := range holder.owners {
		if token, _, ok := holder.Held(now, group); ok {
			heldGroups[group] = token
		}
	}
	for group := range holder.takeovers {
		if token, _, ok := holder.Held(now, group); ok {
			heldGroups[group] = token
		}
	}
	return heldGroups
}

// Share returns the part of the weight store's budget that the VM may use now: the
// minimum shares of the engine groups it holds, plus the leased share.
func (holder *Holder) Share(now time.Time) Share {
	if holder.draining {
		return Share{}
	}
	engines := 0
	for group, token := range holder.HeldGroups(now) {
		// The minimum share of a group that was taken over may still be used by its
		// former owner.
		if group.Kind == core.EngineGroup && holder.owners[group].Token == token {
			engines++
		}
	}
	share := holder.budget.MinimumShare().times(engines)
	if now.Before(holder.shareEnd) {
		share = share.plus(holder.share)
	}
	return share
}

// Leased reports whether the VM has an unexpired lease from the leader.
func (holder *Holder) Leased(now time.Time) bool {
	return now.Before(holder.leaseEnd)
}

// LastContact returns the time when the last lease from the leader was received, or the
// start of the VM if there was none.
func (holder *Holder) LastContact() time.Time {
	return later(holder.lastContact, holder.started)
}

// DirectoryNumber returns the directory number of the owners that the VM knows.
func (holder *Holder) DirectoryNumber() uint64 {
	return holder.directoryNumber
}

// Owner returns the owner of a group according to the state of this VM, and false if it
// knows none.
func (holder *Holder) Owner(now time.Time, group core.GroupID) (core.VMID, bool) {
	if _, _, ok := holder.Held(now, group); ok {
		return holder.self.VM, true
	}
	owned, ok := holder.owners[group]
	if other, known := holder.consent.consentedOwners[group]; known && now.Before(other.until) {
		return other.vm, true
	}
	return owned.VM, ok
}

// Owners returns the owners that the VM knows. The caller must not modify them.
func (holder *Holder) Owners() Owners {
	return holder.owners
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
