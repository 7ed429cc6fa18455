package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Timing holds the time limits for missing announcements.
type Timing struct {
	// Silence is the time without an announcement after which an upstream is marked
	// silent, and Removal the time after which it is removed from the table.
	Silence, Removal time.Duration
}

// entry is the state of one upstream. announced is the time of its last accepted
// announcement.
type entry struct {
	instance  core.Instance
	announced time.Duration
}

// Table holds the state of upstreams by ID. Times are readings of a monotonic clock that
// continues while the machine is suspended. Create it with NewTable. It is not safe for
// concurrent use.
type Table struct {
	timing    Timing
	entries   map[core.UpstreamID]*entry
	addresses map[string]core.UpstreamID
	// services are those that the configuration names, nil while that is not known.
	services map[core.ServiceID]bool
}

// NewTable returns an empty table.
func NewTable(timing Timing) *Table {
	return &Table{timing: timing, entries: make(map[core.UpstreamID]*entry), addresses: make(map[string]core.UpstreamID)}
}

// SetServices sets the services that the configuration names. An announcement for another service
// may come from another writer, so it does not replace an upstream of a named one.
func (table *Table) SetServices(services map[core.ServiceID]bool) { table.services = services }

// yields reports whether the entry of an upstream gives way to an announcement whatever their
// times: its service is not named, and that of the announcement is.
func (table *Table) yields(current, announced core.Instance) bool {
	return table.services != nil && !table.services[current.Service] && table.services[announced.Service]
}

// Announce applies an announcement. It has no effect if the announcement is not newer
// than the last one of the upstream, or if its address belongs to an upstream that
// started later. An upstream of a named service gives way to no other one, and one of another
// service gives way to it. Announce returns whether a field that is relevant to senders changed (see
// equalForSenders).
func (table *Table) Announce(now time.Duration, instance core.Instance) bool {
	current := table.entries[instance.Upstream]
	replaces := current != nil && table.yields(current.instance, instance)
	if current != nil && !replaces && (table.yields(instance, current.instance) || !newer(instance, current.instance)) {
		return false
	}
	if !table.claimAddress(instance) {
		return false
	}
	if replaces {
		current.instance = core.Instance{}
	}
	if current == nil {
		current = &entry{}
		table.entries[instance.Upstream] = current
	}
	before := current.instance
	if before.Born == instance.Born {
		// Leaving and Gone are final for a process; only a restart resets them.
		instance.Leaving = instance.Leaving || before.Leaving
		instance.Gone = instance.Gone || before.Gone
	}
	current.instance, current.announced = instance, now
	return !equalForSenders(before, instance)
}

// newer reports whether an announcement was made after another one of the same upstream.
func newer(instance, other core.Instance) bool {
	return cmp.Or(cmp.Compare(instance.Born, other.Born), cmp.Compare(instance.Sequence, other.Sequence)) > 0
}

// claimAddress assigns the address to the instance and marks the upstream that had it
// before as gone. It returns false if the address belongs to an upstream that started
// later.
func (table *Table) claimAddress(instance core.Instance) bool {
	holder := table.addresses[instance.Address]
	if holder == instance.Upstream {
		return true
	}
	if other := table.entries[holder]; other != nil && other.instance.Address == instance.Address {
		if table.yields(instance, other.instance) || other.instance.Born > instance.Born && !table.yields(other.instance, instance) {
			return false
		}
		other.instance.Gone = true
	}
	table.addresses[instance.Address] = instance.Upstream
	return true
}

// equalForSenders reports whether two states are equal in all fields that matter to VMs
// that send requests. Sequence and the adapters of the models do not matter.
func equalForSenders(a, b core.Instance) bool {
	return a.Upstream == b.Upstream && a.Born == b.Born && a.Service == b.Service && a.Software == b.Software && a.Address == b.Address &&
		a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving && a.Gone == b.Gone && a.Silent == b.Silent &&
		slices.EqualFunc(a.Models, b.Models, func(x, y core.ModelResidency) bool { return x.Model == y.Model })
}

// Merge merges the flags Leaving, Gone and Silent of an upstream's state that another VM
// reported. It has no effect on an unknown upstream or if the report is about another
// process of the upstream. A report that is based on an older announcement than the known
// one is applied only if it sets Leaving or Gone, and does not change Silent. Merge returns
// whether anything changed.
func (table *Table) Merge(instance core.Instance) bool {
	current := table.entries[instance.Upstream]
	if current == nil || current.instance.Born != instance.Born || current.instance.Sequence > instance.Sequence && !instance.Gone && !instance.Leaving {
		return false
	}
	before := current.instance
	current.instance.Leaving = before.Leaving || instance.Leaving
	current.instance.Gone = before.Gone || instance.Gone
	if instance.Sequence >= current.instance.Sequence {
		current.instance.Silent = instance.Silent
	}
	return !equalForSenders(before, current.instance)
}

// MarkGone marks an upstream as leaving and gone. It returns false if the upstream is
// unknown or already gone.
func (table *Table) MarkGone(id core.UpstreamID) bool {
	current := table.entries[id]
	if current == nil || current.instance.Gone {
		return false
	}
	current.instance.Gone, current.instance.Leaving = true, true
	return true
}

// Expire marks upstreams as silent after Timing.Silence without an announcement and
// removes them after Timing.Removal. It returns the newly silent upstreams, sorted by
// ID. Upstreams that are gone are not marked.
func (table *Table) Expire(now time.Duration) []core.Instance {
	var newlySilent []core.Instance
	for id, current := range table.entries {
		elapsed := now - current.announced
		switch {
		case elapsed >= table.timing.Removal:
			delete(table.entries, id)
			if table.addresses[current.instance.Address] == id {
				delete(table.addresses, current.instance.Address)
			}
		case elapsed >= table.timing.Silence && !current.instance.Silent && !current.instance.Gone:
			current.instance.Silent = true
			newlySilent = append(newlySilent, current.instance)
		}
	}
	return sortByID(newlySilent)
}

// Get returns the state of an upstream, and false if it is unknown.
func (table *Table) Get(id core.UpstreamID) (core.Instance, bool) {
	current := table.entries[id]
	if current == nil {
		return core.Instance{}, false
	}
	return current.instance, true
}

// All returns the states of all upstreams, sorted by ID.
func (table *Table) All() []core.Instance {
	all := make([]core.Instance, 0, len(table.entries))
	for _, current := range table.entries {
		all = append(all, current.instance)
	}
	return sortByID(all)
}

func sortByID(all []core.Instance) []core.Instance {
	slices.SortFunc(all, func(a, b core.Instance) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
