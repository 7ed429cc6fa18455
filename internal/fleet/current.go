package fleet

// closedChannel is a channel that is closed.
var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

// Current returns a selection as it is now, with the newest revision of its weights. It returns
// false if the request must not be sent there any more: the process leaves, another one has its ID,
// its software is not that of the selection, as after it seemed to have ended, or it lacks that
// revision. A request that was selected an upstream may have waited for a turn, a load, a record or a
// connection since.
func (table *Table) Current(selected Selection) (Selection, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[selected.Upstream]
	if !known.takes(selected) || known.software() != selected.Software {
		return selected, false
	}
	if newest := table.revisions[selected.Weights]; newest > selected.Revision {
		if held, ok := known.heldRevision(selected.Weights); !ok || held < newest {
			return selected, false
		}
		selected.Revision = newest
	}
	return selected, true
}

// takes reports whether the process of a selection may be sent requests. A nil upstream is not
// known any more.
func (upstream *upstream) takes(selected Selection) bool {
	return upstream != nil && upstream.instance.Born == selected.Born && upstream.instance.Address == selected.Address && upstream.usable()
}

// departure returns a channel that is closed once the process of a selection leaves, seems to have
// ended or changes its software.
func (table *Table) departure(selected Selection) <-chan struct{} {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[selected.Upstream]
	if !known.takes(selected) {
		return closedChannel
	}
	if known.departed == nil {
		known.departed = make(chan struct{})
	}
	return known.departed
}
