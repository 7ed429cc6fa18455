package room

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// shareHalfLife is the time in which what a workspace has used counts half. One of 70 VMs sends
	// some ten requests in it, which is what it takes to tell eight times a share from one.
	shareHalfLife = 2 * time.Second
	// maxShares bounds the workspaces that are counted, and minUse is the use from which one is
	// forgotten, relative to one token.
	maxShares = 1024
	minUse    = 0.05
)

// Share names who uses the upstreams.
type Share struct {
	Workspace core.WorkspaceID
	// Weight is the part that the workspace is entitled to relative to others; zero means 1.
	Weight float64
}

func (share Share) weight() float64 {
	if share.Weight <= 0 {
		return 1
	}
	return share.Weight
}

// use is a decaying sum of tokens by weight.
type use struct {
	tokens float64
	at     time.Duration
}

func (use use) value(now time.Duration) float64 {
	return use.tokens * math.Exp2(-float64(now-use.at)/float64(shareHalfLife))
}

// shares counts the tokens that the workspaces have sent lately from this VM. The zero value is
// empty.
type shares struct {
	uses map[core.WorkspaceID]use
}

// sent adds the tokens of a request that is sent.
func (shares *shares) sent(now time.Duration, share Share, tokens core.Tokens) {
	if shares.uses == nil {
		shares.uses = make(map[core.WorkspaceID]use)
	}
	current, known := shares.uses[share.Workspace]
	if !known && len(shares.uses) >= maxShares {
		shares.expire(now)
		if len(shares.uses) >= maxShares {
			return
		}
	}
	shares.uses[share.Workspace] = use{tokens: current.value(now) + float64(max(1, tokens))/share.weight(), at: now}
}

// expire removes the workspaces that have used nothing for long.
func (shares *shares) expire(now time.Duration) {
	for workspace, use := range shares.uses {
		if use.value(now) < minUse {
			delete(shares.uses, workspace)
		}
	}
}

// used returns what a workspace has used lately by weight.
func (shares *shares) used(now time.Duration, share Share) float64 {
	return shares.uses[share.Workspace].value(now)
}

// total returns the sum of what the workspaces have used lately, and their number.
func (shares *shares) total(now time.Duration) (sum float64, count int) {
	for _, use := range shares.uses {
		if value := use.value(now); value >= minUse {
			sum += value
			count++
		}
	}
	return sum, count
}

// excess returns what a workspace has used relative to the mean of the others of the total that
// have used something, and 1 if there are none.
func excess(used, sum float64, count int) float64 {
	if used >= minUse {
		sum, count = sum-used, count-1
	}
	if count <= 0 || sum <= 0 {
		return 1
	}
	return used * float64(count) / sum
}
