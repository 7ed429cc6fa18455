package fleet

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// statedLimit is the limit that an upstream has stated last.
type statedLimit struct {
	limit core.RequestLimit
	// since is the time since which the limit is in force, and sends the number of requests
	// that this VM has sent to the upstream since then.
	since time.Duration
	sends int
}

// LimitChange is the change of the limit that an upstream states.
type LimitChange struct {
	Before, After core.RequestLimit
	// Lasted is the time for which the limit before was in force, and Sends the number of
	// requests that this VM sent in that time.
	Lasted time.Duration
	Sends  int
}

// ObserveLimit stores the limit that a response of the selected upstream states. It returns
// the change and true if it differs from the one before.
func (table *Table) ObserveLimit(now time.Duration, selected Selection, limit core.RequestLimit) (LimitChange, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[selected.Upstream]
	if known == nil || known.instance.Born != selected.Born || known.stated.limit == limit {
		return LimitChange{}, false
	}
	before := known.stated
	known.stated = statedLimit{limit: limit, since: now}
	return LimitChange{Before: before.limit, After: limit, Lasted: now - before.since, Sends: before.sends}, true
}
