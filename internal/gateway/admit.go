package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// maxAdmissions is the number of upstreams that are asked for a turn for one send.
	maxAdmissions = 4
	// shortTurn is the wait for a turn at an upstream with a limit that is better than another
	// copy of the weights, whose load takes about as long.
	shortTurn = 250 * time.Millisecond
)

// heldBack is the reason why no upstream is chosen while all that could be state a limit.
const heldBack = "the upstreams are at the limits that they state, or are brittle and may be full"

// turns looks for the upstream of one send, at which it needs a turn if the upstream states a
// limit.
type turns struct {
	call  *call
	query fleet.Query
	// waits holds the upstreams that had no turn at once, with the time until the next one.
	waits map[core.UpstreamID]time.Duration
	// departed is the upstream that has left while the request waited for its turn there, empty if
	// none has.
	departed core.UpstreamID
}

// chooseAdmitted returns the upstream of the next send like chooseUpstream. At an upstream
// that states a limit, it takes a turn. If the upstream leaves meanwhile, it chooses anew.
func (call *call) chooseAdmitted(ctx context.Context) (fleet.Selection, string, bool) {
	exclude := slices.Clone(call.tried)
	for {
		turns := &turns{call: call, waits: make(map[core.UpstreamID]time.Duration), query: fleet.Query{
			Service: call.service, Weights: call.request.Weights, Exclude: exclude, Origin: call.origin(), Request: call.request.ID, Tokens: call.request.Tokens,
			Prompt: call.request.Prompt, Objective: call.route.Objective,
		}}
		selection, reason, ok := turns.choose(ctx)
		if ok || turns.departed == "" || ctx.Err() != nil {
			return selection, reason, ok
		}
		table := call.gateway.options.Table
		process, ok := table.Find(turns.departed)
		if _, current := table.Current(process); !ok || !current {
			exclude = append(exclude, turns.departed)
		}
	}
}

// choose returns an upstream at which the request has a turn if it needs one. Upstreams without a
// free turn come last: first other upstreams that hold the weights, then a short wait for a turn,
// another copy of the weights, and at last the wait for a turn within the deadline.
func (turns *turns) choose(ctx context.Context) (fleet.Selection, string, bool) {
	call := turns.call
	if selection, ok := turns.chooseSameSoftware(ctx); ok {
		return selection, "", true
	}
	for range maxAdmissions {
		selection, reason, ok := call.chooseUpstream(ctx, turns.query, true)
		if !ok && reason != heldBack && len(turns.waits) == 0 {
			return selection, reason, false
		}
		if !ok {
			break
		}
		if turns.take(ctx, selection, 0) {
			return selection, "", true
		}
	}
	if selection, ok := turns.awaitRoom(ctx, shortTurn); ok {
		return selection, "", true
	}
	turns.addHeldBack()
	if selection, ok := turns.wait(ctx, shortTurn); ok || turns.departed != "" {
		return selection, "", ok
	}
	selection, reason, ok := call.chooseUpstream(ctx, turns.query, false)
	if ok && turns.take(ctx, selection, shortTurn) {
		return selection, "", true
	}
	if selection, ok := turns.wait(ctx, time.Until(call.deadline)/placementWaitDivisor); ok {
		return selection, "", true
	}
	if ids := turns.sorted(); len(ids) > 0 {
		reason, call.retryAfter = heldBack, max(retryAfter, turns.waits[ids[0]])
	}
	return selection, reason, false
}

// chooseSameSoftware returns a free upstream with the software version of the send before.
func (turns *turns) chooseSameSoftware(ctx context.Context) (fleet.Selection, bool) {
	table := turns.call.gateway.options.Table
	query, ok := turns.call.sameSoftware(turns.query)
	if !ok || !table.HasSoftware(query) {
		return fleet.Selection{}, false
	}
	selection, ok := table.Select(clock.Now(), query)
	if ok && selection.Cost >= extraCopyCost {
		table.Finish(selection)
		return fleet.Selection{}, false
	}
	return selection, ok && turns.take(ctx, selection, 0)
}

// take takes a turn at the selected upstream within the given time. If there is none, it
// gives the selection up, and the upstream is not selected again.
func (turns *turns) take(ctx context.Context, selection fleet.Selection, wait time.Duration) bool {
	limits := turns.call.gateway.options.Limits
	if limits == nil || !selection.Limit.Stated {
		return true
	}
	left, ok := limits.Admit(ctx, selection, wait)
	if ok {
		return true
	}
	table := turns.call.gateway.options.Table
	if _, current := table.Current(selection); !current {
		turns.departed = selection.Upstream
	}
	table.Finish(selection)
	turns.add(selection.Upstream, left)
	return false
}

// add notes that an upstream has no turn before the given time.
func (turns *turns) add(upstream core.UpstreamID, wait time.Duration) {
	if _, known := turns.waits[upstream]; !known {
		turns.query.Exclude = append(slices.Clone(turns.query.Exclude), upstream)
	}
	turns.waits[upstream] = wait
}

// minRoomWait is the shortest time between two looks for room at brittle upstreams.
const minRoomWait = 10 * time.Millisecond

// awaitRoom waits until one of the upstreams that may be full may be sent the request, at most
// for the given time.
func (turns *turns) awaitRoom(ctx context.Context, limit time.Duration) (fleet.Selection, bool) {
	table := turns.call.gateway.options.Table
	for end := time.Now().Add(limit); ctx.Err() == nil; {
		held := table.HeldBack(clock.Now(), turns.query)
		at := slices.IndexFunc(held, func(held fleet.Held) bool { return held.Full })
		if at < 0 || held[at].Wait > time.Until(end) {
			break
		}
		timer := time.NewTimer(max(minRoomWait, held[at].Wait))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		if selection, ok := table.Select(clock.Now(), turns.query); ok && turns.take(ctx, selection, 0) {
			return selection, true
		}
	}
	return fleet.Selection{}, false
}

// addHeldBack adds the upstreams that were passed over, since they had no turn for another
// request.
func (turns *turns) addHeldBack() {
	for _, held := range turns.call.gateway.options.Table.HeldBack(clock.Now(), turns.query) {
		turns.add(held.Upstream, held.Wait)
	}
}

// sorted returns the upstreams without a turn, the one with the shortest wait first.
func (turns *turns) sorted() []core.UpstreamID {
	return slices.SortedFunc(maps.Keys(turns.waits), func(a, b core.UpstreamID) int {
		return cmp.Or(cmp.Compare(turns.waits[a], turns.waits[b]), cmp.Compare(a, b))
	})
}

// wait waits for a turn at one of the upstreams without one, at most for the given time.
func (turns *turns) wait(ctx context.Context, limit time.Duration) (fleet.Selection, bool) {
	for _, id := range turns.sorted() {
		if turns.departed != "" || turns.waits[id] > limit {
			break
		}
		selection, ok := turns.call.gateway.options.Table.Reserve(clock.Now(), id, turns.query)
		if ok && turns.take(ctx, selection, limit) {
			return selection, true
		}
	}
	return fleet.Selection{}, false
}
