package popularity

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
)

// Table holds the rates of a bounded number of adapter versions and assigns them
// small integer ids, starting at 0. Create it with New.
type Table struct {
	start         time.Time
	limit         int
	ids           map[core.AdapterVersion]int32
	entries       []entry
	unheldEntries indexheap.Heap
}

type entry struct {
	name         core.AdapterVersion
	rate         Rate
	score        float64
	holdCount    int32
	heapPosition int32
}

// New returns an empty table for at most limit adapter versions.
func New(start time.Time, limit int) *Table {
	return &Table{start: start, limit: limit, ids: make(map[core.AdapterVersion]int32)}
}

// ID returns the id of an adapter version. created reports whether the version was not
// in the table before. If the table is full, a new adapter version replaces the least
// popular one that is not held and takes over its id. ID returns indexheap.None if
// every entry is held.
func (table *Table) ID(name core.AdapterVersion) (id int32, created bool) {
	if id, ok := table.ids[name]; ok {
		return id, false
	}
	if len(table.entries) < table.limit {
		id = int32(len(table.entries))
		table.entries = append(table.entries, entry{})
	} else {
		evicted, ok := table.unheldEntries.Top()
		if !ok {
			return indexheap.None, false
		}
		id = evicted
		table.unheldEntries.Remove((*unheldOrder)(table), 0)
		delete(table.ids, table.entries[id].name)
	}
	table.entries[id] = entry{name: name, heapPosition: indexheap.None}
	table.entries[id].score = table.entries[id].rate.score(table.start)
	table.ids[name] = id
	table.unheldEntries.Push((*unheldOrder)(table), id)
	return id, true
}

// Find returns the id of an adapter version, and false if it has none.
func (table *Table) Find(name core.AdapterVersion) (int32, bool) {
	id, ok := table.ids[name]
	return id, ok
}

// Observe counts one arrival for an id.
func (table *Table) Observe(id int32, now time.Time) {
	entry := &table.entries[id]
	entry.rate.Add(now)
	entry.score = entry.rate.score(table.start)
	if entry.heapPosition != indexheap.None {
		table.unheldEntries.Fix((*unheldOrder)(table), entry.heapPosition)
	}
}

// Hold protects an id from being reassigned until a matching call of Release.
// Calls nest.
func (table *Table) Hold(id int32) {
	entry := &table.entries[id]
	entry.holdCount++
	if entry.heapPosition != indexheap.None {
		table.unheldEntries.Remove((*unheldOrder)(table), entry.heapPosition)
	}
}

// Release undoes one Hold.
func (table *Table) Release(id int32) {
	entry := &table.entries[id]
	entry.holdCount--
	if entry.holdCount == 0 {
		table.unheldEntries.Push((*unheldOrder)(table), id)
	}
}

// Name returns the adapter version of an id.
func (table *Table) Name(id int32) core.AdapterVersion { return table.entries[id].name }

// Forecast returns the expected arrival rate of an id.
func (table *Table) Forecast(id int32, now time.Time) core.RequestsPerSecond {
	return table.entries[id].rate.Forecast(now)
}

// ShortRate returns the arrival rate of an id over the short time constant.
func (table *Table) ShortRate(id int32, now time.Time) core.RequestsPerSecond {
	return table.entries[id].rate.ShortRate(now)
}

// Score returns a value that orders ids by their arrival rate over the long time
// constant. It changes only with Observe.
func (table *Table) Score(id int32) float64 { return table.entries[id].score }

// Len returns the number of adapter versions in the table.
func (table *Table) Len() int { return len(table.ids) }

// unheldOrder orders the entries that are not held, the least popular first.
type unheldOrder Table

func (order *unheldOrder) Less(a, b int32) bool {
	return order.entries[a].score < order.entries[b].score
}

func (order *unheldOrder) SetPosition(id, position int32) { order.entries[id].heapPosition = position }
