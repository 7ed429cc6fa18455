package ledger

import (
	"cmp"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// applyAssign assigns a group to a VM if the command names the current token. The new
// token is derived from the log index, so tokens never decrease.
func (state *State) applyAssign(index uint64, assign Assign) AssignResult {
	current := state.owners[assign.Group]
	if current.Token != assign.Previous {
		return AssignResult{Ownership: current}
	}
	next := Ownership{
		Group: assign.Group, VM: assign.VM, Incarnation: assign.Incarnation,
		Token: core.FencingToken(index << FencingShift), ZoneHash: assign.ZoneHash, First: assign.Previous == 0, Live: assign.Live,
	}
	state.owners[assign.Group] = next
	state.directoryNumber = index
	return AssignResult{Changed: true, Ownership: next}
}

// Owner returns the owner of a group, and false if the group has none.
func (state *State) Owner(group core.GroupID) (Ownership, bool) {
	owner, ok := state.owners[group]
	return owner, ok
}

// Owners returns the owners of all groups, sorted by group.
func (state *State) Owners() []Ownership {
	owners := make([]Ownership, 0, len(state.owners))
	for _, owner := range state.owners {
		owners = append(owners, owner)
	}
	slices.SortFunc(owners, func(a, b Ownership) int {
		return cmp.Or(cmp.Compare(a.Group.Zone, b.Group.Zone), cmp.Compare(a.Group.Kind, b.Group.Kind), cmp.Compare(a.Group.Name, b.Group.Name))
	})
	return owners
}
