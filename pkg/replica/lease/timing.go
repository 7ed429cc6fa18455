package lease

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Durations of the lease protocol. Holder and leader must use the same values.
const (
	// Length is the duration of a lease, counted from the time when its renewal was sent.
	Length = 2 * time.Second
	// Margin covers the difference between the rates of two monotonic clocks.
	Margin = 500 * time.Millisecond
	// Interval is the time between two renewals of a VM.
	Interval = 500 * time.Millisecond
	// ContactTimeout is the time without a lease from the leader after which a VM
	// requests and grants consent. The last leases of two VMs of a zone can be one
	// interval apart, and the consent must arrive before the earlier lease ends.
	ContactTimeout = 750 * time.Millisecond
	// ConsentLength is the time for which a VM that has granted consent accepts no new
	// ownership.
	ConsentLength = 2 * time.Second
	// groupCreationDelay is the time that a new leader waits before it creates a group.
	// By then the VMs of the zone have renewed, so the groups are spread over all of them.
	groupCreationDelay = 2 * Interval
	// maxTickGap is the time between two ticks above which the leader's process was
	// suspended: renewals have waited in its buffers, so all leases look expired.
	maxTickGap = time.Second
	// sessionExpiry is the time without a renewal after which a session is deleted.
	sessionExpiry = 10 * time.Second
)

// Member identifies one incarnation of a VM. After a restart a VM is a different member
// and owns nothing that the previous member owned.
type Member struct {
	VM          core.VMID
	Incarnation core.Incarnation
}

// Demand is a VM's report about one group.
type Demand struct {
	Group core.GroupID
	// Wanted is set if upstreams of the group announce themselves to the VM.
	Wanted bool
	// Loads is the rate of adapter loads that the VM would use as owner.
	Loads core.LoadsPerSecond
	// ChecksFencing is set if every engine of the group rejects outdated fencing tokens.
	ChecksFencing bool
	// Seen is the largest known fencing token of the group; see Holder.HighestToken.
	Seen core.FencingToken
}

// Owners maps each group to its owner.
type Owners map[core.GroupID]ledger.Ownership

// OwnersOf returns the ownerships of a list by group.
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
