package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// consent is the state of a VM in its zone while the leader can't be reached.
type consent struct {
	// others are the other VMs of the zone; true if they have heard of this VM.
	others map[core.VMID]bool
	// greeted is set when every other VM has heard of this one or counts as down.
	greeted  bool
	greeting time.Time
	// introduced is the time of the last introduction.
	introduced time.Time
	// barred is the time until which the VM accepts only the ownerships in kept.
	barred time.Time
	kept   map[core.GroupID]core.FencingToken
	// until is the end of the others' consent to each ownership.
	until map[core.GroupID]agreed
	// elsewhere holds the groups that other VMs keep by this VM's consent.
	elsewhere map[core.GroupID]keeper
	// attempt numbers the own takeovers, so that one can be called off.
	attempt  uint64
	underway map[core.GroupID]uint64
}

type agreed struct {
	token core.FencingToken
	until time.Time
}

type keeper struct {
	vm    core.VMID
	until time.Time
}

func newConsent(now time.Time) consent {
	return consent{
		others:    make(map[core.VMID]bool),
		greeting:  now.Add(Length + Margin),
		barred:    now.Add(ConsentLength + Margin),
		until:     make(map[core.GroupID]agreed),
		elsewhere: make(map[core.GroupID]keeper),
		underway:  make(map[core.GroupID]uint64),
	}
}

// allows reports whether the VM may count itself as the owner. While it is barred
// by its own consent, or has to introduce itself, it may keep what it held.
func (consent *consent) allows(now time.Time, owned ledger.Ownership) bool {
	if consent.greeted && !now.Before(consent.barred) {
		return true
	}
	token, ok := consent.kept[owned.Group]
	return ok && token == owned.Token
}

// end returns the end of the others' consent to this ownership.
func (consent *consent) end(owned ledger.Ownership) time.Time {
	one, ok := consent.until[owned.Group]
	if !ok || one.token != owned.Token {
		return time.Time{}
	}
	return one.until
}

// Meet adds a VM of the same zone to those whose consent is needed. This VM must
// introduce itself to it before it accepts another ownership.
func (holder *Holder) Meet(now time.Time, vm core.VMID) {
	if _, known := holder.consent.others[vm]; known || vm == holder.self.VM {
		return
	}
	holder.consent.kept = holder.Holding(now)
	holder.consent.others[vm] = false
	holder.consent.greeted = false
	holder.consent.greeting = now.Add(Length + Margin)
}

// Others returns the other known VMs of the zone, sorted.
func (holder *Holder) Others() []core.VMID {
	return slices.Sorted(maps.Keys(holder.consent.others))
}

// strangers returns the other VMs that have not heard of this one.
func (holder *Holder) strangers() []core.VMID {
	var strangers []core.VMID
	for _, vm := range holder.Others() {
		if !holder.consent.others[vm] {
			strangers = append(strangers, vm)
		}
	}
	return strangers
}

// greetAgain is the time between two introductions to VMs that count as down.
const greetAgain = 5 * time.Second

// Introduction returns the round that introduces this VM to those of its zone that
// have not heard of it, and false if there is nothing to do now. The VM accepts no
// ownership before: an owner that goes on by consent must know whom to ask.
func (holder *Holder) Introduction(now time.Time) (Round, bool) {
	round := Round{Request: Request{Member: holder.self, Length: ConsentLength}, asked: now, others: holder.strangers()}
	if holder.consent.greeted && (len(round.others) == 0 || now.Sub(holder.consent.introduced) < greetAgain) {
		return Round{}, false
	}
	holder.consent.introduced = now
	return round, true
}

// Introduced applies the replies to an Introduction round. A VM that could not be
// reached for lease and margin counts as down.
func (holder *Holder) Introduced(now time.Time, replies Replies) {
	for _, vm := range replies.Granted {
		holder.consent.others[vm] = true
	}
	if holder.consent.greeted || len(holder.strangers()) > 0 && now.Before(holder.consent.greeting) {
		return
	}
	holder.consent.greeted = true
	holder.consent.kept = holder.Holding(now)
	// An owner that has just heard of this VM may go on by an earlier consent.
	holder.consent.barred = later(holder.consent.barred, now.Add(ConsentLength))
}

// Request asks another VM of the zone for consent. Without groups it only
// introduces the VM.
type Request struct {
	Member
	Length time.Duration
	Groups []core.GroupID
	// Tokens are the tokens of the groups, in the same order.
	Tokens []core.FencingToken
}

// Consent decides about the request of another VM of the same zone. A grant bars
// this VM from ownerships that it does not hold. The reason says why not.
func (holder *Holder) Consent(now time.Time, request Request) (granted bool, reason string) {
	holder.consent.others[request.VM] = true // it knows this VM, since it asks
	switch {
	case len(request.Groups) == 0:
		return true, ""
	case request.Length > ConsentLength:
		return false, "longer than the bar on restarted VMs"
	case !holder.contact.IsZero() && now.Sub(holder.contact) < NoContact:
		return false, "this VM has contact to the leader"
	case holder.holdsAny(now, request.Groups):
		return false, "this VM holds the group"
	case len(holder.consent.underway) > 0 && holder.self.VM < request.VM:
		return false, "this VM takes a group over"
	}
	holder.bar(now, request)
	return true, ""
}

func (holder *Holder) holdsAny(now time.Time, groups []core.GroupID) bool {
	return slices.ContainsFunc(groups, func(group core.GroupID) bool {
		_, _, held := holder.Held(now, group)
		return held
	})
}

func (holder *Holder) bar(now time.Time, request Request) {
	clear(holder.consent.underway)
	holder.consent.kept = holder.Holding(now)
	holder.consent.barred = later(holder.consent.barred, now.Add(request.Length))
	for i, group := range request.Groups {
		holder.consent.elsewhere[group] = keeper{request.VM, now.Add(request.Length)}
		if i < len(request.Tokens) {
			holder.Seen(group, request.Tokens[i]) // a later takeover goes above it
		}
	}
}

// Round is one round of questions to the other VMs of the zone.
type Round struct {
	Request
	asked  time.Time
	tokens map[core.GroupID]core.FencingToken
	// others are the VMs whose answer the round needs.
	others []core.VMID
	// attempt is set for a takeover.
	attempt uint64
}

// Others returns the VMs to ask.
func (round Round) Others() []core.VMID {
	return round.others
}

// Replies are the answers to a round.
type Replies struct {
	Granted     []core.VMID
	Refused     int
	Unreachable int
}

// keepAhead is the rest of a right at which it is extended. It leaves time for four
// rounds, and one round a second if all succeed.
const keepAhead = 1250 * time.Millisecond

// Keep returns the round that asks for consent to the groups held now. It returns
// false while the leader answers, nothing is held, or the rights last long enough.
func (holder *Holder) Keep(now time.Time) (Round, bool) {
	if holder.draining || holder.inContact(now, NoContact) {
		return Round{}, false
	}
	holding := holder.Holding(now)
	for group := range holding {
		if _, end, _ := holder.Held(now, group); end.Sub(now) <= keepAhead {
			return holder.round(now, holding), true
		}
	}
	return Round{}, false
}

func (holder *Holder) inContact(now time.Time, within time.Duration) bool {
	return now.Sub(holder.LastContact()) < within
}

func (holder *Holder) round(now time.Time, tokens map[core.GroupID]core.FencingToken) Round {
	request := Request{Member: holder.self, Length: ConsentLength}
	for _, group := range slices.SortedFunc(maps.Keys(tokens), CompareGroups) {
		request.Groups = append(request.Groups, group)
		request.Tokens = append(request.Tokens, tokens[group])
	}
	return Round{Request: request, asked: now, tokens: tokens, others: holder.Others()}
}

// Kept applies the replies to a Keep round. Only a group that was held without a
// gap goes on: a gap could hide another owner. Taken-over groups go on without
// the VMs that can't be reached, since their engines check the token.
func (holder *Holder) Kept(now time.Time, round Round, replies Replies) {
	end := round.asked.Add(round.Length)
	if replies.Refused > 0 || len(replies.Granted)+replies.Unreachable < len(round.others) {
		return
	}
	all := len(replies.Granted) == len(round.others) && holder.knowsOnly(round.others)
	for group, token := range round.tokens {
		held, _, ok := holder.Held(now, group)
		if !ok || held != token {
			continue
		}
		if took, ok := holder.takeover[group]; ok && took.token == token {
			holder.takeover[group] = taken{token, later(took.until, end)}
		} else if all {
			holder.consent.until[group] = agreed{token, end}
		}
	}
}

// knowsOnly reports whether no VM was met since the round was made.
func (holder *Holder) knowsOnly(others []core.VMID) bool {
	return slices.Equal(holder.Others(), others)
}
