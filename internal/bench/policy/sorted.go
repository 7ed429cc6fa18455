package policy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// sortedCalls returns the calls of pending loads in the order of their attempts,
// so that runs do not depend on the order of a map.
func sortedCalls(lost map[core.AdapterVersion]*pending) []*waiter {
	var calls []*waiter
	for _, load := range lost {
		calls = append(calls, load.calls...)
	}
	sortWaiters(calls)
	return calls
}

func sortedWaiters(calls map[core.AttemptID]*waiter) []*waiter {
	list := slices.Collect(maps.Values(calls))
	sortWaiters(list)
	return list
}

func sortWaiters(list []*waiter) {
	slices.SortFunc(list, func(a, b *waiter) int { return cmp.Compare(a.Attempt, b.Attempt) })
}
