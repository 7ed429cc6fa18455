package lease

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// The times of leases. Holder and leader must agree on them.
const (
	// Length is the length of a lease from the send of its renewal.
	Length = 2 * time.Second
	// Margin covers differences between the rates of two monotonic clocks.
	Margin = 500 * time.Millisecond
	// Interval is the time between two renewals of one VM.
	Interval = 500 * time.Millisecond
	// NoContact is the time without a lease from the leader after which a VM asks
	// for consent, and gives it. The last leases of two VMs in a zone may lie one
	// interval apart, and the consent must come before the earlier one ends.
	NoContact = 750 * time.Millisecond
	// ConsentLength is the time for which a VM that has consented accepts no
	// ownership.
	ConsentLength = 2 * time.Second
	// settle is the time that a new leader waits before it creates a group, so
	// that the VMs of the zone have renewed and the groups are spread over them.
	settle = 2 * Interval
	// tickGap is the time between two ticks after which a leader counts as
	// frozen: renewals have waited in its buffers and every VM looks silent.
	tickGap = time.Second
	// forget is the silence after which a session is dropped from the table.
	forget = 10 * time.Second
)

// Member is one run of a VM. A restarted VM is another member and inherits no
// ownership.
type Member struct {
	VM          core.VMID
	Incarnation core.Incarnation
}

// Demand is what a VM reports about one group.
type Demand struct {
	Group core.GroupID
	// Wanted is set if upstreams of the group announce themselves to the VM.
	Wanted bool
	// Loads is the rate of adapter loads that the owner would use.
	Loads core.LoadsPerSecond
	// ChecksFencing is set if every engine of the group refuses old tokens.
	ChecksFencing bool
	// Seen is the largest token known of the group; see Holder.Highest.
	Seen core.FencingToken
}

// Owners maps each group to its owner.
type Owners map[core.GroupID]ledger.Ownership

// OwnersOf returns the table of a list of ownerships.
func OwnersOf(list []ledger.Ownership) Owners {
	owners := make(Owners, len(list))
	for _, owned := range list {
		owners[owned.Group] = owned
	}
	return owners
}

func memberOf(owned ledger.Ownership) Member {
	return Member{VM: owned.VM, Incarnation: owned.Incarnation}
}
