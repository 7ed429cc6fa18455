package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Timing bounds the silence of an upstream.
type Timing struct {
	// Silence is the time without an announcement after which an upstream counts as
	// silent, and Removal that after which it is forgotten.
	Silence, Removal time.Duration
}

// entry is what is known of an upstream.
type entry struct {
	instance core.Instance
	heard    time.Duration
}

// Table holds upstreams by name. Times are readings of a clock that does not stop while
// the machine is suspended. Use NewTable; a Table may be used by one goroutine at a time.
type Table struct {
	timing    Timing
	entries   map[core.UpstreamID]*entry
	addresses map[string]core.UpstreamID
}

// NewTable returns an empty table.
func NewTable(timing Timing) *Table {
	return &Table{timing: timing, entries: make(map[core.UpstreamID]*entry), addresses: make(map[string]core.UpstreamID)}
}

// Announce takes in what an upstream says about itself. It returns false if nothing
// changed that matters to others. Words of an earlier life, an earlier announcement, and
// one of an upstream whose address a later one has taken have no effect.
func (table *Table) Announce(now time.Duration, instance core.Instance) bool {
	known := table.entries[instance.Upstream]
	if known != nil && !later(instance, known.instance) {
		return false
	}
	if !table.takeAddress(instance) {
		return false
	}
	if known == nil {
		known = &entry{}
		table.entries[instance.Upstream] = known
	}
	before := known.instance
	if before.Born == instance.Born {
		// An upstream that has said that it leaves does not come back in this life.
		instance.Leaving = instance.Leaving || before.Leaving
		instance.Gone = instance.Gone || before.Gone
	}
	known.instance, known.heard = instance, now
	return !same(before, instance)
}

func later(instance, than core.Instance) bool {
	return cmp.Or(cmp.Compare(instance.Born, than.Born), cmp.Compare(instance.Sequence, than.Sequence)) > 0
}

// takeAddress gives the address to the instance. It returns false if an upstream that
// started later has it.
func (table *Table) takeAddress(instance core.Instance) bool {
	holder := table.addresses[instance.Address]
	if holder == instance.Upstream {
		return true
	}
	if other := table.entries[holder]; other != nil && other.instance.Address == instance.Address {
		if other.instance.Born > instance.Born {
			return false
		}
		other.instance.Gone = true
	}
	table.addresses[instance.Address] = instance.Upstream
	return true
}

// same reports whether two announcements say the same to those who send requests.
func same(a, b core.Instance) bool {
	return a.Upstream == b.Upstream && a.Born == b.Born && a.Service == b.Service && a.Address == b.Address &&
		a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving && a.Gone == b.Gone && a.Silent == b.Silent &&
		slices.EqualFunc(a.Models, b.Models, func(x, y core.ModelResidency) bool { return x.Model == y.Model })
}

// Judge takes in what another VM has concluded from an announcement: that the upstream
// leaves, is gone or has become silent. It has no effect if a later announcement is known.
// It returns false if nothing changed.
func (table *Table) Judge(instance core.Instance) bool {
	known := table.entries[instance.Upstream]
	if known == nil || known.instance.Born != instance.Born || known.instance.Sequence > instance.Sequence && !instance.Gone && !instance.Leaving {
		return false
	}
	before := known.instance
	known.instance.Leaving = before.Leaving || instance.Leaving
	known.instance.Gone = before.Gone || instance.Gone
	known.instance.Silent = instance.Silent
	return !same(before, known.instance)
}

// Leave marks an upstream as gone. It returns false if it is unknown or already gone.
func (table *Table) Leave(id core.UpstreamID) bool {
	known := table.entries[id]
	if known == nil || known.instance.Gone {
		return false
	}
	known.instance.Gone, known.instance.Leaving = true, true
	return true
}

// Expire marks the upstreams that have become silent and forgets those that have been
// silent for long. It returns the ones that have become silent.
func (table *Table) Expire(now time.Duration) []core.Instance {
	var silent []core.Instance
	for id, known := range table.entries {
		quiet := now - known.heard
		switch {
		case quiet >= table.timing.Removal:
			delete(table.entries, id)
			if table.addresses[known.instance.Address] == id {
				delete(table.addresses, known.instance.Address)
			}
		case quiet >= table.timing.Silence && !known.instance.Silent && !known.instance.Gone:
			known.instance.Silent = true
			silent = append(silent, known.instance)
		}
	}
	return sorted(silent)
}

// Get returns an upstream, and false if it is unknown.
func (table *Table) Get(id core.UpstreamID) (core.Instance, bool) {
	known := table.entries[id]
	if known == nil {
		return core.Instance{}, false
	}
	return known.instance, true
}

// All returns every upstream, sorted by name.
func (table *Table) All() []core.Instance {
	all := make([]core.Instance, 0, len(table.entries))
	for _, known := range table.entries {
		all = append(all, known.instance)
	}
	return sorted(all)
}

func sorted(all []core.Instance) []core.Instance {
	slices.SortFunc(all, func(a, b core.Instance) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
