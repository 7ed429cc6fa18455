package policy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// sortedLoadCalls returns the calls of pending loads sorted by attempt, so that
// simulations do not depend on the iteration order of a map.
func sortedLoadCalls(lost map[core.AdapterVersion]*pendingLoad) []*activeCall {
	var calls []*activeCall
	for _, load := range lost {
		calls = append(calls, load.calls...)
	}
	sortActiveCalls(calls)
	return calls
}

// sortedCalls returns the calls sorted by attempt.
func sortedCalls(calls map[core.AttemptID]*activeCall) []*activeCall {
	list := slices.Collect(maps.Values(calls))
	sortActiveCalls(list)
	return list
}

func sortActiveCalls(list []*activeCall) {
	slices.SortFunc(list, func(a, b *activeCall) int { return cmp.Compare(a.Attempt, b.Attempt) })
}
