package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// consentState is the part of a Holder that extends ownership by consent of the other
// VMs of the zone while the leader cannot be reached.
type consentState struct {
	// peers holds the other known VMs of the zone. The value is true if that VM knows
	// this one.
	peers map[core.VMID]bool
	// introductionDone is set once every other VM of the zone knows this one or counts
	// as down. After introductionDeadline, VMs that cannot be reached count as down.
	introductionDone     bool
	introductionDeadline time.Time
	// lastIntroduction is the time of the last introduction round.
	lastIntroduction time.Time
	// restrictedUntil is the time until which the VM accepts only the ownerships in
	// retained.
	restrictedUntil time.Time
	retained        map[core.GroupID]core.FencingToken
	// extensions holds, for each group, the ownership that the other VMs have consented
	// to and the end of their consent.
	extensions map[core.GroupID]extension
	// consentedOwners holds the groups that other VMs keep with this VM's consent.
	consentedOwners map[core.GroupID]consentedOwner
	// lastAttempt is the number of the last takeover that this VM started, and
	// pendingTakeovers holds the numbers of the running ones, so that they can be
	// cancelled.
	lastAttempt      uint64
	pendingTakeovers map[core.GroupID]uint64
}

type extension struct {
	token core.FencingToken
	until time.Time
}

type consentedOwner struct {
	vm    core.VMID
	until time.Time
}

func newConsent(now time.Time) consentState {
	return consentState{
		peers:                make(map[core.VMID]bool),
		introductionDeadline: now.Add(Length + Margin),
		restrictedUntil:      now.Add(ConsentLength + Margin),
		extensions:           make(map[core.GroupID]extension),
		consentedOwners:      make(map[core.GroupID]consentedOwner),
		pendingTakeovers:     make(map[core.GroupID]uint64),
	}
}

// allows reports whether the VM may act as the owner. While it is restricted by its own
// consent, or has not introduced itself to its zone, it may only keep what it held
// before.
func (consent *consentState) allows(now time.Time, owned ledger.Ownership) bool {
	if consent.introductionDone && !now.Before(consent.restrictedUntil) {
		return true
	}
	token, ok := consent.retained[owned.Group]
	return ok && token == owned.Token
}

// extensionEnd returns the end of the other VMs' consent to the ownership, and the zero
// time if they have not consented to it.
func (consent *consentState) extensionEnd(owned ledger.Ownership) time.Time {
	agreed, ok := consent.extensions[owned.Group]
	if !ok || agreed.token != owned.Token {
		return time.Time{}
	}
	return agreed.until
}

// AddPeer adds a VM of the same zone to those whose consent is required. This VM must
// introduce itself to it before it accepts another ownership.
func (holder *Holder) AddPeer(now time.Time, vm core.VMID) {
	if _, known := holder.consent.peers[vm]; known || vm == holder.self.VM {
		return
	}
	holder.consent.retained = holder.HeldGroups(now)
	holder.consent.peers[vm] = false
	holder.consent.introductionDone = false
	holder.consent.introductionDeadline = now.Add(Length + Margin)
}

// Peers returns the other known VMs of the zone, sorted by name.
func (holder *Holder) Peers() []core.VMID {
	return slices.Sorted(maps.Keys(holder.consent.peers))
}

// uninformedPeers returns the other known VMs of the zone that may not know this one,
// sorted by name.
func (holder *Holder) uninformedPeers() []core.VMID {
	var uninformed []core.VMID
	for _, vm := range holder.Peers() {
		if !holder.consent.peers[vm] {
			uninformed = append(uninformed, vm)
		}
	}
	return uninformed
}

// reintroductionInterval is the time between two introductions to VMs that count as
// down.
const reintroductionInterval = 5 * time.Second

// BeginIntroduction returns the round of requests that introduces this VM to the VMs of its
// zone that may not know it, and false if none is due. The VM accepts no ownership
// before it is introduced, because an owner that extends its ownership by consent must
// know all VMs whose consent it needs.
func (holder *Holder) BeginIntroduction(now time.Time) (ConsentRound, bool) {
	round := ConsentRound{ConsentRequest: ConsentRequest{Member: holder.self, Length: ConsentLength}, sent: now, peers: holder.uninformedPeers()}
	if holder.consent.introductionDone && (len(round.peers) == 0 || now.Sub(holder.consent.lastIntroduction) < reintroductionInterval) {
		return ConsentRound{}, false
	}
	holder.consent.lastIntroduction = now
	return round, true
}

// FinishIntroduction applies the replies to an introduction round. A VM that could not be
// reached for the length of a lease and the margin counts as down.
func (holder *Holder) FinishIntroduction(now time.Time, replies Replies) {
	for _, vm := range replies.Granted {
		holder.consent.peers[vm] = true
	}
	if holder.consent.introductionDone || len(holder.uninformedPeers()) > 0 && now.Before(holder.consent.introductionDeadline) {
		return
	}
	holder.consent.introductionDone = true
	holder.consent.retained = holder.HeldGroups(now)
	// An owner that has just learned of this VM may still use consent from before.
	holder.consent.restrictedUntil = later(holder.consent.restrictedUntil, now.Add(ConsentLength))
}

// ConsentRequest asks another VM of the zone for consent. A request without groups only
// introduces the sender.
type ConsentRequest struct {
	Member
	Length time.Duration
	Groups []core.GroupID
	// Tokens holds the fencing tokens of the groups, in the same order.
	Tokens []core.FencingToken
}

// Consent decides on the request of another VM of the same zone. After granting it, this
// VM accepts no ownership that it does not already hold, for the length of the request.
// If the request is refused, reason says why.
func (holder *Holder) Consent(now time.Time, request ConsentRequest) (granted bool, reason string) {
	holder.consent.peers[request.VM] = true // the sender knows this VM
	switch {
	case len(request.Groups) == 0:
		return true, ""
	case request.Length > ConsentLength:
		return false, "longer than the bar on restarted VMs"
	case !holder.lastContact.IsZero() && now.Sub(holder.lastContact) < ContactTimeout:
		return false, "this VM has contact to the leader"
	case holder.holdsAny(now, request.Groups):
		return false, "this VM holds the group"
	case len(holder.consent.pendingTakeovers) > 0 && holder.self.VM < request.VM:
		return false, "this VM takes a group over"
	}
	holder.restrict(now, request)
	return true, ""
}

func (holder *Holder) holdsAny(now time.Time, groups []core.GroupID) bool {
	return slices.ContainsFunc(groups, func(group core.GroupID) bool {
		_, _, held := holder.Held(now, group)
		return held
	})
}

// restrict applies a granted request: it cancels the takeovers of this VM and limits it
// to the ownerships that it holds.
func (holder *Holder) restrict(now time.Time, request ConsentRequest) {
	clear(holder.consent.pendingTakeovers)
	holder.consent.retained = holder.HeldGroups(now)
	holder.consent.restrictedUntil = later(holder.consent.restrictedUntil, now.Add(request.Length))
	for i, group := range request.Groups {
		holder.consent.consentedOwners[group] = consentedOwner{request.VM, now.Add(request.Length)}
		if i < len(request.Tokens) {
			holder.ObserveToken(group, request.Tokens[i]) // a later takeover uses a larger token
		}
	}
}

// ConsentRound is one round of requests to the other VMs of the zone.
type ConsentRound struct {
	ConsentRequest
	sent   time.Time
	tokens map[core.GroupID]core.FencingToken
	// peers holds the VMs to which the request is sent.
	peers []core.VMID
	// attempt is the number of the takeover, and zero for other rounds.
	attempt uint64
}

// Peers returns the VMs to which the request must be sent.
func (round ConsentRound) Peers() []core.VMID {
	return round.peers
}

// Replies summarizes the answers to a round: the VMs that granted the request, and the
// number of VMs that refused it or could not be reached.
type Replies struct {
	Granted     []core.VMID
	Refused     int
	Unreachable int
}

// extensionLeadTime is the remaining time of an ownership at which the VM starts to
// extend it. It leaves time for four rounds. If all succeed, there is one round a second.
const extensionLeadTime = 1250 * time.Millisecond

// BeginExtension returns the round that asks for consent to the groups that this VM
// holds. It returns false if the VM is draining or has contact to the leader, and if no
// group it holds needs an extension yet.
func (holder *Holder) BeginExtension(now time.Time) (ConsentRound, bool) {
	if holder.draining || holder.inContact(now, ContactTimeout) {
		return ConsentRound{}, false
	}
	heldGroups := holder.HeldGroups(now)
	for group := range heldGroups {
		if _, end, _ := holder.Held(now, group); end.Sub(now) <= extensionLeadTime {
			return holder.newRound(now, heldGroups), true
		}
	}
	return ConsentRound{}, false
}

// inContact reports whether this VM received a lease from the leader, or started, less than
// the given duration ago.
func (holder *Holder) inContact(now time.Time, within time.Duration) bool {
	return now.Sub(holder.LastContact()) < within
}

// newRound returns the round that asks the other VMs of the zone for consent to groups with
// the given tokens.
func (holder *Holder) newRound(now time.Time, tokens map[core.GroupID]core.FencingToken) ConsentRound {
	request := ConsentRequest{Member: holder.self, Length: ConsentLength}
	for _, group := range slices.SortedFunc(maps.Keys(tokens), CompareGroups) {
		request.Groups = append(request.Groups, group)
		request.Tokens = append(request.Tokens, tokens[group])
	}
	return ConsentRound{ConsentRequest: request, sent: now, tokens: tokens, peers: holder.Peers()}
}

// FinishExtension applies the replies to an extension round. Only a group that is still
// held is extended, because after a gap another VM may have become the owner. For groups
// that were taken over, the consent of unreachable VMs is not needed, because the engines
// of these groups check the token.
func (holder *Holder) FinishExtension(now time.Time, round ConsentRound, replies Replies) {
	end := round.sent.Add(round.Length)
	if replies.Refused > 0 || len(replies.Granted)+replies.Unreachable < len(round.peers) {
		return
	}
	allGranted := len(replies.Granted) == len(round.peers) && holder.peersUnchanged(round.peers)
	for group, token := range round.tokens {
		held, _, ok := holder.Held(now, group)
		if !ok || held != token {
			continue
		}
		if takeover, ok := holder.takeovers[group]; ok && takeover.token == token {
			holder.takeovers[group] = takenGroup{token, later(takeover.until, end)}
		} else if allGranted {
			holder.consent.extensions[group] = extension{token, end}
		}
	}
}

// peersUnchanged reports whether the known VMs of the zone are still those of the round.
func (holder *Holder) peersUnchanged(peers []core.VMID) bool {
	return slices.Equal(holder.Peers(), peers)
}
