package ledger

import (
	"maps"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// PutQuotaShares replaces the shares that the entry VMs may have of the quotas. It has no effect
// unless Token is that of the owner of core.QuotaGroup and Replaces is the present number: a
// command that arrives late must not lower a share that was raised since.
type PutQuotaShares struct {
	Token    core.FencingToken
	Replaces uint64
	Shares   map[core.VMID]core.QuotaShare
}

// PutQuotaSharesResult is the result of PutQuotaShares: whether the shares were replaced, and the
// present number.
type PutQuotaSharesResult struct {
	Changed bool
	Number  uint64
}

// quotaShares holds the shares of the entry VMs. The number is the log index of their last change.
type quotaShares struct {
	Number uint64
	Shares map[core.VMID]core.QuotaShare
}

func (state *State) applyQuotaShares(index uint64, put PutQuotaShares) PutQuotaSharesResult {
	owner := state.owners[core.QuotaGroup]
	if owner.Token == 0 || owner.Token != put.Token || put.Replaces != state.quotaShares.Number {
		return PutQuotaSharesResult{Number: state.quotaShares.Number}
	}
	state.quotaShares = quotaShares{Number: index, Shares: maps.Clone(put.Shares)}
	return PutQuotaSharesResult{Changed: true, Number: index}
}

// QuotaShares returns the largest share that each entry VM may have of the quotas, and the number
// of their last change. The map must not be modified.
func (state *State) QuotaShares() (uint64, map[core.VMID]core.QuotaShare) {
	return state.quotaShares.Number, state.quotaShares.Shares
}
