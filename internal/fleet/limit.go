package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/throttle"
)

const (
	// admitTimeout bounds one question to the owner of a zone, which usually takes a few
	// milliseconds. An owner that does not answer is not asked again for admitRetryDelay.
	admitTimeout    = 150 * time.Millisecond
	admitRetryDelay = time.Second
	// limitRefresh is the time without a response after which an upstream with a limit is
	// preferred like any other: only a response shows that the limit has ended.
	limitRefresh = time.Second
)

// statedLimit is the limit that an upstream has stated last.
type statedLimit struct {
	limit core.RequestLimit
	// at is the time of the statement.
	at time.Duration
	// since is the time since which the limit is in force, and responses the number of
	// responses that this VM has received from the upstream since then.
	since     time.Duration
	responses int
	// heldUntil is the time until which no turn can be had, as the owner has said last.
	heldUntil time.Duration
	// share grants this VM's share of the turns while the owner cannot be reached.
	share throttle.Bucket
}

// LimitChange is the change of the limit that an upstream states.
type LimitChange struct {
	Before, After core.RequestLimit
	// Lasted is the time for which the limit before was in force, and Responses the number of
	// responses that this VM received in that time.
	Lasted    time.Duration
	Responses int
}

// setLimit stores a statement unless a younger one is known. It returns the change and true
// if it is news. The caller holds the lock.
func (table *Table) setLimit(now, at time.Duration, process throttle.Process, limit core.RequestLimit) (LimitChange, bool) {
	known := table.upstreams[process.Upstream]
	if known == nil || known.instance.Born != process.Born || at < known.stated.at {
		return LimitChange{}, false
	}
	before := known.stated
	known.stated.at = at
	if !throttle.Differ(before.limit, limit) {
		return LimitChange{}, false
	}
	known.stated = statedLimit{limit: limit, at: at, since: now}
	if limit.Stated {
		// The first turns of the VMs' shares are spread over one interval.
		interval := table.shareInterval(limit.Rate)
		phase := xxhash.Sum64String(string(table.vm)+"\x00"+string(process.Upstream)) % uint64(max(1, interval))
		known.stated.share.Delay(now + time.Duration(phase))
	}
	return LimitChange{Before: before.limit, After: limit, Lasted: now - before.since, Responses: before.responses}, true
}

// shareInterval returns the time between two turns of this VM's share of a rate. The caller
// holds the lock.
func (table *Table) shareInterval(rate core.RequestsPerSecond) time.Duration {
	return throttle.Interval(rate) * time.Duration(max(1, table.entryVMs))
}

// ObserveLimit stores the limit that a response of the selected upstream states. It returns
// the change and true if it is news.
func (table *Table) ObserveLimit(now time.Duration, selected Selection, limit core.RequestLimit) (LimitChange, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if known := table.upstreams[selected.Upstream]; known != nil {
		known.stated.responses++
	}
	return table.setLimit(now, now, throttle.Process{Upstream: selected.Upstream, Born: selected.Born}, limit)
}

// statement returns the limit of the selected upstream.
func (table *Table) statement(now time.Duration, selected Selection) throttle.Statement {
	table.lock.Lock()
	defer table.lock.Unlock()
	statement := throttle.Statement{Process: throttle.Process{Upstream: selected.Upstream, Born: selected.Born}}
	if known := table.upstreams[selected.Upstream]; known != nil && known.instance.Born == selected.Born {
		statement.Limit, statement.Age = known.stated.limit, now-known.stated.at
	}
	return statement
}

// hold makes Select pass over an upstream with a limit until its next turn.
func (table *Table) hold(selected Selection, until time.Duration) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if known := table.upstreams[selected.Upstream]; known != nil && known.instance.Born == selected.Born {
		known.stated.heldUntil = until
	}
}

// reserveShare takes a turn from this VM's share of the rate of the selected upstream.
func (table *Table) reserveShare(now time.Duration, selected Selection, wait time.Duration) (time.Duration, bool) {
	table.lock.Lock()
	defer table.lock.Unlock()
	known := table.upstreams[selected.Upstream]
	if known == nil || known.instance.Born != selected.Born || !known.stated.limit.Stated {
		return 0, true
	}
	return known.stated.share.Reserve(now, table.shareInterval(known.stated.limit.Rate), wait)
}

// Held is an upstream that could serve a request but for the limit that it states, or but for
// the room that it may lack while it is brittle.
type Held struct {
	Upstream core.UpstreamID
	// Wait is the time until the next turn or risk there, as it was known last.
	Wait time.Duration
	// Full is set if it states no limit and only may lack room.
	Full bool
}

// HeldBack returns the upstreams that could serve a request but for the limits that they
// state or the room that they may lack, the one with the shortest wait first.
func (table *Table) HeldBack(now time.Duration, query Query) []Held {
	table.lock.Lock()
	defer table.lock.Unlock()
	var held []Held
	revision := table.revisions[query.Weights]
	for _, known := range table.services[query.Service] {
		wait, full := time.Duration(0), table.brittleWait(now, known)
		if known.stated.limit.Stated {
			wait = known.stated.heldUntil - now
		}
		if max(wait, full) > 0 && table.holdsFor(now, known, query, revision) {
			held = append(held, Held{Upstream: known.instance.Upstream, Wait: max(wait, full), Full: full > 0 && wait <= 0})
		}
	}
	slices.SortFunc(held, func(a, b Held) int { return int(a.Wait - b.Wait) })
	return held
}

// Admit takes a turn at an upstream that states a limit, and waits for it. If it does not
// come within the given time, Admit takes none and returns false and the time until it. It also
// returns false as soon as the upstream leaves, has ended or changes its software; the turn there is
// lost then. The
// owner of the zone grants the turns of all VMs. Without an owner, a VM takes its own share.
func (follower *Follower) Admit(ctx context.Context, selected Selection, wait time.Duration) (time.Duration, bool) {
	table := follower.options.Table
	now := clock.Now()
	statement := table.statement(now, selected)
	if !statement.Limit.Stated {
		return 0, true
	}
	left, admitted, answered := follower.askForTurn(ctx, selected.Zone, statement, wait)
	if !answered {
		left, admitted = table.reserveShare(now, selected, wait)
	}
	if !admitted {
		table.hold(selected, now+left)
		return left, false
	}
	return 0, left <= 0 || follower.awaitTurn(ctx, selected, left)
}

// awaitTurn waits until a turn at an upstream has come. It returns false at once if the upstream
// leaves or has ended, or if the context ends.
func (follower *Follower) awaitTurn(ctx context.Context, selected Selection, left time.Duration) bool {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-follower.options.Table.departure(selected):
		return false
	case <-ctx.Done():
		return false
	}
}

// askForTurn asks the owner of a zone for a turn. answered is not set if there is no owner
// or it does not answer.
func (follower *Follower) askForTurn(ctx context.Context, zone core.ZoneID, statement throttle.Statement, wait time.Duration) (left time.Duration, admitted, answered bool) {
	owner, ok := follower.admittingOwner(zone)
	if !ok {
		return 0, false, false
	}
	response, err := follower.callAdmit(ctx, owner, &wire.Admit{
		Vm: string(follower.options.VM), Limit: peer.StatedLimitMessage(statement), Reserve: true, WaitMillis: uint64(max(0, wait.Milliseconds())),
	})
	if err != nil {
		if ctx.Err() == nil {
			follower.lock.Lock()
			follower.admitAfter[owner] = clock.Now() + admitRetryDelay
			follower.lock.Unlock()
		}
		return 0, false, false
	}
	result := response.GetAdmitResult()
	return time.Duration(result.GetWaitMillis()) * time.Millisecond, result.GetAdmitted(), true
}

// admittingOwner returns the owner of a zone, and false if there is none or it did not answer
// within admitRetryDelay.
func (follower *Follower) admittingOwner(zone core.ZoneID) (core.VMID, bool) {
	owner, ok := follower.options.Table.Owners()[zone]
	follower.lock.Lock()
	defer follower.lock.Unlock()
	return owner, ok && clock.Now() >= follower.admitAfter[owner]
}

func (follower *Follower) callAdmit(ctx context.Context, owner core.VMID, request *wire.Admit) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	return follower.options.Calls.Call(ctx, owner, &wire.Request{Body: &wire.Request_Admit{Admit: request}})
}

// ReportLimit reports the limit that an upstream has just stated to the owner of its zone,
// which tells all VMs.
func (follower *Follower) ReportLimit(selected Selection) {
	owner, ok := follower.admittingOwner(selected.Zone)
	if !ok || follower.ctx.Err() != nil {
		return
	}
	statement := follower.options.Table.statement(clock.Now(), selected)
	follower.running.Go(func() {
		_, err := follower.callAdmit(follower.ctx, owner, &wire.Admit{Vm: string(follower.options.VM), Limit: peer.StatedLimitMessage(statement)})
		if err != nil {
			follower.options.Logger.Debug("The report of a limit failed.", "upstream", selected.Upstream, "owner", owner, "error", err)
		}
	})
}

// applyLimits stores the limits that a control VM has published.
func (follower *Follower) applyLimits(messages []*wire.StatedLimit) {
	now := clock.Now()
	table := follower.options.Table
	table.lock.Lock()
	defer table.lock.Unlock()
	for _, message := range messages {
		statement := peer.StatedLimitFromMessage(message)
		table.setLimit(now, now-statement.Age, statement.Process, statement.Limit)
	}
}
