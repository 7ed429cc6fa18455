package popularity

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
)

// Table holds the rates of a bounded number of adapter versions under small ids.
// Create it with New.
type Table struct {
	start   time.Time
	limit   int
	ids     map[core.AdapterVersion]int32
	entries []entry
	idle    indexheap.Heap
}

type entry struct {
	name  core.AdapterVersion
	rate  Rate
	score float64
	holds int32
	at    int32
}

// New returns an empty table for at most limit adapter versions.
func New(start time.Time, limit int) *Table {
	return &Table{start: start, limit: limit, ids: make(map[core.AdapterVersion]int32)}
}

// ID returns the id of an adapter version and whether the id was newly given to
// it. An id is reused once its adapter version is forgotten. ID returns
// indexheap.None if the table is full and every entry is in use.
func (table *Table) ID(name core.AdapterVersion) (id int32, fresh bool) {
	if id, ok := table.ids[name]; ok {
		return id, false
	}
	if len(table.entries) < table.limit {
		id = int32(len(table.entries))
		table.entries = append(table.entries, entry{})
	} else {
		forgotten, ok := table.idle.Top()
		if !ok {
			return indexheap.None, false
		}
		id = forgotten
		table.idle.Remove((*order)(table), 0)
		delete(table.ids, table.entries[id].name)
	}
	table.entries[id] = entry{name: name, at: indexheap.None}
	table.entries[id].score = table.entries[id].rate.score(table.start)
	table.ids[name] = id
	table.idle.Push((*order)(table), id)
	return id, true
}

// Find returns the id of an adapter version without creating one.
func (table *Table) Find(name core.AdapterVersion) (int32, bool) {
	id, ok := table.ids[name]
	return id, ok
}

// Observe counts one arrival.
func (table *Table) Observe(id int32, now time.Time) {
	entry := &table.entries[id]
	entry.rate.Add(now)
	entry.score = entry.rate.score(table.start)
	if entry.at != indexheap.None {
		table.idle.Fix((*order)(table), entry.at)
	}
}

// Hold keeps an id from being reused until as many calls of Release.
func (table *Table) Hold(id int32) {
	entry := &table.entries[id]
	entry.holds++
	if entry.at != indexheap.None {
		table.idle.Remove((*order)(table), entry.at)
	}
}

// Release undoes one Hold.
func (table *Table) Release(id int32) {
	entry := &table.entries[id]
	entry.holds--
	if entry.holds == 0 {
		table.idle.Push((*order)(table), id)
	}
}

// Name returns the adapter version of an id.
func (table *Table) Name(id int32) core.AdapterVersion { return table.entries[id].name }

// Forecast returns the expected arrival rate of an id.
func (table *Table) Forecast(id int32, now time.Time) core.RequestsPerSecond {
	return table.entries[id].rate.Forecast(now)
}

// Short returns the arrival rate of an id over the short time constant.
func (table *Table) Short(id int32, now time.Time) core.RequestsPerSecond {
	return table.entries[id].rate.Short(now)
}

// Score returns a value that orders ids by their long rate. It changes only with
// Observe.
func (table *Table) Score(id int32) float64 { return table.entries[id].score }

// Len returns the number of adapter versions in the table.
func (table *Table) Len() int { return len(table.ids) }

// order sorts the idle entries, the least popular first.
type order Table

func (order *order) Less(a, b int32) bool { return order.entries[a].score < order.entries[b].score }

func (order *order) Moved(id, at int32) { order.entries[id].at = at }
