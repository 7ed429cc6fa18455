package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/quota"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// ErrUnconfirmed is returned when no majority of the replicas confirms which state is the
// newest.
var ErrUnconfirmed = errors.New("no majority confirms the newest state")

// proposeTimeout bounds the commit of an operator's change. Operators try another VM
// after 1 s without an answer.
const proposeTimeout = 3 * time.Second

// PutRoutes commits a route table. It returns the validation errors of an invalid table,
// and an error if the table is not known to be committed.
func (control *Control) PutRoutes(ctx context.Context, put ledger.PutRoutes) (ledger.PutRoutesResult, []core.ValidationError, error) {
	if validationErrors := put.Table.Check(); len(validationErrors) > 0 {
		control.options.Logger.Warn("A route table was refused.", "number", put.Table.Number, "faults", len(validationErrors), "first", validationErrors[0].Error())
		return ledger.PutRoutesResult{}, validationErrors, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, form, err := control.commitRoutes(ctx, put)
	if err != nil {
		control.options.Logger.Warn("A route table was not committed.", "number", put.Table.Number, "form", form, "error", err)
		return ledger.PutRoutesResult{}, nil, errors.Wrap(err, "commit route table")
	}
	control.options.Logger.Info("A route table was processed.", "number", put.Table.Number, "changed", result.Changed,
		"in_force", result.Number, "conflict", result.Conflict, "form", form)
	if result.Changed {
		control.recordRoutes(put.Table)
	}
	return result, nil, nil
}

// maxStaleChanges is the number of times that a change of the route table is prepared. Another change
// may have been committed since this VM has seen the state.
const maxStaleChanges = 3

// commitRoutes commits a route table in the smallest form that all control VMs can apply: what
// changes, the table compressed, or the table. It returns the form.
func (control *Control) commitRoutes(ctx context.Context, put ledger.PutRoutes) (ledger.PutRoutesResult, routeForm, error) {
	for range maxStaleChanges {
		change, ok := control.prepareRoutes(put)
		if !ok {
			break
		}
		result, err := control.options.Commands.Propose(ctx, 0, ledger.Command{ChangeRoutes: &change})
		if err != nil || result.PutRoutes != nil && !result.PutRoutes.Stale {
			return routesResult(result), changeForm, err
		}
		control.options.Logger.Info("A change of the route table was not accepted.", "number", put.Table.Number, "from", change.Change.From, "in_force", routesResult(result).Number, "reason", result.Fault)
		if result.PutRoutes == nil || !control.awaitRoutes(ctx, result.PutRoutes.Number) {
			break
		}
	}
	compressed := put
	compressed.Compressed = true
	result, err := control.options.Commands.Propose(ctx, 0, ledger.Command{PutRoutes: &compressed})
	if err != nil || result.PutRoutes != nil {
		return routesResult(result), compressedForm, err
	}
	result, err = control.options.Commands.Propose(ctx, 0, ledger.Command{PutRoutes: &put})
	if err == nil && result.PutRoutes == nil {
		err = errors.Wrap(host.ErrNotCommitted, result.Fault)
	}
	return routesResult(result), wholeForm, err
}

// routesResult returns the result for a route table, the zero value if there is none.
func routesResult(result ledger.Result) ledger.PutRoutesResult {
	if result.PutRoutes == nil {
		return ledger.PutRoutesResult{}
	}
	return *result.PutRoutes
}

// awaitRoutes waits until this VM has applied the route table with a number, or a later one, for at
// most catchUpTimeout. It returns false if it has not.
func (control *Control) awaitRoutes(ctx context.Context, number core.ConfigNumber) bool {
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return false
	}
	return awaitState(ctx, replica, func(state *ledger.State) bool {
		routes, _ := state.Routes()
		return routes.Number >= number
	})
}

// awaitState waits until the state of a replica meets a condition, for at most catchUpTimeout. It
// returns false if it does not.
func awaitState(ctx context.Context, replica *host.Replica, condition func(state *ledger.State) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	changes, cancelChanges := replica.Subscribe()
	defer cancelChanges()
	for {
		met := false
		replica.View(func(state *ledger.State) { met = condition(state) })
		if met {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changes:
		}
	}
}

// prepareRoutes returns the command that states what a route table changes in that of the local
// replica, and false if there is none or if the command would be no smaller than the table.
func (control *Control) prepareRoutes(put ledger.PutRoutes) (ledger.ChangeRoutes, bool) {
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return ledger.ChangeRoutes{}, false
	}
	var base ledger.RouteBase
	replica.View(func(state *ledger.State) { base = state.RouteBase() })
	change, ok := base.Prepare(put)
	entries := len(put.Table.Routes) + len(put.Table.Services) + len(put.Table.Workspaces)
	return change, ok && 2*change.Change.Entries() <= entries
}

// CommitRevision commits the newest revision of an adapter. It returns an error if the
// revision is not known to be committed.
func (control *Control) CommitRevision(ctx context.Context, announcement ledger.AnnounceRevision) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := control.options.Commands.Propose(ctx, 0, ledger.Command{NameRevision: &announcement})
	if err == nil && result.NameRevision == nil {
		err = errors.Wrap(host.ErrNotCommitted, result.Fault)
	}
	control.options.Logger.Info("A commit of an adapter revision ended.", "weights", announcement.Weights.String(), "revision", announcement.Revision, "error", err)
	if err != nil {
		return errors.Wrap(err, "commit revision")
	}
	return nil
}

// ConfirmedRoutes returns the number of the newest route table and the document that the
// operator submitted. It returns ErrUnconfirmed if no majority confirms that it is the
// newest.
func (control *Control) ConfirmedRoutes(ctx context.Context) (core.ConfigNumber, []byte, error) {
	page, err := control.confirmedPage(ctx, &wire.RoutesFetch{Document: true})
	if err != nil {
		return 0, nil, err
	}
	return core.ConfigNumber(page.GetNumber()), page.GetDocument(), nil
}

// confirmTimeout bounds a confirmed read. It is below the 1 s after which an operator
// asks another VM.
const confirmTimeout = 900 * time.Millisecond

// confirmedPage returns the newest route table, from this VM if a majority confirms that it
// leads or that it holds all that the leader holds, and otherwise from the leader. It returns
// ErrUnconfirmed if neither succeeds.
func (control *Control) confirmedPage(ctx context.Context, fetch *wire.RoutesFetch) (*wire.RoutesPage, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return nil, ErrUnconfirmed
	}
	if replica.Confirm(ctx) == nil {
		return control.routesPage(replica, fetch)
	}
	leader := replica.Leader()
	if leader == "" || leader == control.options.VM || fetch.GetDirect() {
		return nil, ErrUnconfirmed
	}
	if control.holdsAllOf(ctx, replica, leader) {
		return control.routesPage(replica, fetch)
	}
	request := &wire.Request{Body: &wire.Request_RoutesFetch{RoutesFetch: &wire.RoutesFetch{
		Confirm: true, Document: fetch.GetDocument(), Features: fetch.GetFeatures(), HeldNumber: fetch.GetHeldNumber(), Compressed: fetch.GetCompressed(), Direct: true,
	}}}
	response, err := control.options.Calls.Call(ctx, leader, request)
	if err != nil {
		return nil, errors.Join(ErrUnconfirmed, err)
	}
	return response.GetRoutesPage(), nil
}

// catchUpTimeout is the time for which this VM waits to apply what the leader has applied. The
// heartbeat of the leader, which brings it, comes every 100 ms.
const catchUpTimeout = 250 * time.Millisecond

// holdsAllOf asks the leader, which a majority confirms, for the last command that it has applied,
// and waits until this VM has applied it too. The leader then sends no table, which many VMs that
// start at once would all get from it. It returns false if that fails.
func (control *Control) holdsAllOf(ctx context.Context, replica *host.Replica, leader core.VMID) bool {
	var held core.ConfigNumber
	replica.View(func(state *ledger.State) {
		routes, _ := state.Routes()
		held = routes.Number
	})
	if held == 0 {
		return false
	}
	request := &wire.Request{Body: &wire.Request_RoutesFetch{RoutesFetch: &wire.RoutesFetch{
		Confirm: true, HeldNumber: uint64(held), Compressed: true, Direct: true, Features: peer.FeatureMessages(core.SupportedFeatures()),
	}}}
	callContext, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	response, err := control.options.Calls.Call(callContext, leader, request)
	index := response.GetRoutesPage().GetApplied()
	if err != nil || index == 0 { // a leader of an older build does not state it
		return false
	}
	return awaitState(ctx, replica, func(state *ledger.State) bool { return state.Applied() >= index })
}

// answerRoutesFetch returns the route table to another VM, confirmed by a majority if the
// request asks for that.
func (control *Control) answerRoutesFetch(ctx context.Context, request *wire.RoutesFetch) (*wire.RoutesPage, error) {
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return nil, ErrUnconfirmed
	}
	if request.GetConfirm() {
		return control.confirmedPage(ctx, request)
	}
	return control.routesPage(replica, request)
}

// followState loads the replicated state each time it changes, until the context ends.
func (control *Control) followState(ctx context.Context) {
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return
	}
	changes, cancel := replica.Subscribe()
	defer cancel()
	for {
		control.applyState()
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

// applyState updates the engine specifications, owned zones and revisions from the local
// replica and notifies the subscribers.
func (control *Control) applyState() {
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return
	}
	var routes core.RouteTable
	var owners []ledger.Ownership
	var revisions []ledger.Revision
	var shares quota.Shares
	control.lock.Lock()
	defer control.lock.Unlock()
	replica.View(func(state *ledger.State) {
		control.applied = state.Applied()
		routes, _ = state.Routes()
		owners = state.Owners()
		revisions = state.RevisionsSince(control.revisionIndex)
		shares.Number, shares.Shares = state.QuotaShares()
	})
	now := clock.Now()
	control.setSpecs(now, routes)
	control.setLimits(now, routes)
	control.recordApplied(routes, replica.Leader())
	for _, owner := range owners {
		if owner.Group == core.QuotaGroup {
			control.setQuotaOwner(now, owner, shares)
		} else {
			control.setOwner(now, owner)
		}
	}
	for _, revision := range revisions {
		control.revisionIndex = max(control.revisionIndex, revision.Index)
		for _, zone := range control.owned {
			zone.table.SetRevision(revision.Weights, revision.Revision)
		}
	}
	control.stateLoaded = true
	control.hub.publishState()
	control.signalWorker()
}

// setSpecs stores the engine specifications of the route table and adds the engines of new
// ones to the residency tables. It tells the tables of the upstreams which services a new route
// table names. The caller holds the lock.
func (control *Control) setSpecs(now time.Duration, routes core.RouteTable) {
	if routes.Number != control.namedBy {
		control.namedBy = routes.Number
		services := routes.NamedServices()
		control.members.SetServices(services)
		control.known.SetServices(services)
	}
	for _, service := range routes.Services {
		if service.Engine == nil {
			continue
		}
		_, known := control.engineSpecs[service.Service]
		control.engineSpecs[service.Service] = *service.Engine
		if known {
			continue
		}
		for _, instance := range control.known.All() {
			control.setEngine(now, instance)
		}
	}
}

// setOwner starts or stops the ownership of a zone's engines by this VM as the replicated
// state says. The caller holds the lock.
func (control *Control) setOwner(now time.Duration, owner ledger.Ownership) {
	zone := owner.Group.Zone
	owned := control.owned[zone]
	if owner.VM != control.options.VM {
		if owned != nil {
			control.options.Logger.Info("This VM no longer owns the engines of a zone.", "zone", zone, "owner", owner.VM, "token", owner.Token)
			owned.paces.clear()
			delete(control.owned, zone)
		}
		return
	}
	if owned != nil && owned.token == owner.Token {
		return
	}
	control.options.Logger.Info("This VM owns the engines of a zone.", "zone", zone, "token", owner.Token)
	next := &ownedZone{
		zone: zone, token: owner.Token, ordersFrom: now + control.takeoverWait(owner),
		table: residency.NewTable(residency.Timing{}, 1/float64(max(1, control.options.Zones))),
	}
	control.owned[zone] = next
	for _, instance := range control.known.All() {
		if instance.Zone == zone {
			control.setUpstream(now, instance)
		}
	}
	if replica, ok := control.options.Host.Replica(0); ok {
		replica.View(func(state *ledger.State) {
			for _, revision := range state.RevisionsSince(0) {
				next.table.SetRevision(revision.Weights, revision.Revision)
			}
		})
	}
}

// addState adds the replicated state, the control VMs, the number of entry VMs and those that
// take requests over to an event.
func (control *Control) addState(event *wire.WatchEvent, subscriber *subscriber) {
	event.ControlVms = control.peers.messages(clock.Now())
	event.EntryVms = uint32(control.hub.countEntryVMs())
	if subscriber.handover.Address != "" {
		if targets, changed := control.hub.takeOffers(subscriber); changed {
			event.HandoverTargets = peer.HandoverTargetsMessage(targets)
		}
	}
	replica, ok := control.options.Host.Replica(0)
	if !ok {
		return
	}
	control.addRoutes(event, subscriber, replica)
	replica.View(func(state *ledger.State) {
		revisions := state.RevisionsSince(subscriber.revisionIndex)
		event.Revisions = peer.RevisionMessages(revisions)
		if len(revisions) > 0 {
			subscriber.revisionIndex = revisions[len(revisions)-1].Index
		}
		for _, owner := range state.Owners() {
			event.Owners = append(event.Owners, peer.OwnershipMessage(owner))
		}
	})
	event.RevisionIndex = subscriber.revisionIndex
}
