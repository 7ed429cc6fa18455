package peer

import (
	"slices"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// InstanceMessage is the form in which an upstream travels between VMs.
func InstanceMessage(instance core.Instance) *wire.InstanceState {
	message := &wire.InstanceState{
		Upstream: string(instance.Upstream), BornUnixMillis: instance.Born, Sequence: instance.Sequence,
		Service: string(instance.Service), Address: instance.Address, Zone: string(instance.Zone),
		Slots: uint32(instance.Slots), Leaving: instance.Leaving, Gone: instance.Gone, Silent: instance.Silent,
	}
	for _, model := range instance.Models {
		message.Weights = append(message.Weights, &wire.WeightState{Model: string(model.Model)})
		for adapter, revision := range model.Adapters {
			message.Weights = append(message.Weights, &wire.WeightState{
				Model: string(model.Model), Adapter: string(adapter), Revision: uint64(revision),
			})
		}
	}
	return message
}

// Instance is the inverse of InstanceMessage.
func Instance(message *wire.InstanceState) core.Instance {
	instance := core.Instance{
		Upstream: core.UpstreamID(message.GetUpstream()), Born: message.GetBornUnixMillis(), Sequence: message.GetSequence(),
		Service: core.ServiceID(message.GetService()), Address: message.GetAddress(), Zone: core.ZoneID(message.GetZone()),
		Slots: int(message.GetSlots()), Leaving: message.GetLeaving(), Gone: message.GetGone(), Silent: message.GetSilent(),
	}
	for _, weights := range message.GetWeights() {
		model := core.ModelID(weights.GetModel())
		at := slices.IndexFunc(instance.Models, func(held core.ModelResidency) bool { return held.Model == model })
		if at < 0 {
			at = len(instance.Models)
			instance.Models = append(instance.Models, core.ModelResidency{Model: model, Adapters: make(map[core.AdapterID]core.Revision)})
		}
		if weights.GetAdapter() != "" {
			instance.Models[at].Adapters[core.AdapterID(weights.GetAdapter())] = core.Revision(weights.GetRevision())
		}
	}
	return instance
}

// ResidencyMessage is the form in which a change of an engine's weights travels.
func ResidencyMessage(change residency.Change, token core.FencingToken) *wire.Residency {
	message := &wire.Residency{
		Upstream: string(change.Upstream), BornUnixMillis: change.Born, FencingToken: uint64(token), Whole: change.Whole,
	}
	for _, added := range change.Added {
		message.Added = append(message.Added, &wire.WeightState{
			Model: string(added.Weights.Model), Adapter: string(added.Weights.Adapter), Revision: uint64(added.Revision),
		})
	}
	for _, removed := range change.Removed {
		message.Removed = append(message.Removed, &wire.WeightState{Model: string(removed.Model), Adapter: string(removed.Adapter)})
	}
	return message
}

// Residency is the inverse of ResidencyMessage.
func Residency(message *wire.Residency) (residency.Change, core.FencingToken) {
	change := residency.Change{
		Upstream: core.UpstreamID(message.GetUpstream()), Born: message.GetBornUnixMillis(), Whole: message.GetWhole(),
	}
	for _, added := range message.GetAdded() {
		change.Added = append(change.Added, residency.Holding{Weights: weightKey(added), Revision: core.Revision(added.GetRevision())})
	}
	for _, removed := range message.GetRemoved() {
		change.Removed = append(change.Removed, weightKey(removed))
	}
	return change, core.FencingToken(message.GetFencingToken())
}

func weightKey(message *wire.WeightState) core.WeightKey {
	return core.WeightKey{Model: core.ModelID(message.GetModel()), Adapter: core.AdapterID(message.GetAdapter())}
}

// RevisionMessages is the form in which named revisions travel.
func RevisionMessages(revisions []ledger.Revision) []*wire.RevisionState {
	messages := make([]*wire.RevisionState, 0, len(revisions))
	for _, revision := range revisions {
		messages = append(messages, &wire.RevisionState{
			Model: string(revision.Weights.Model), Adapter: string(revision.Weights.Adapter), Revision: uint64(revision.Revision),
		})
	}
	return messages
}

// Revision is the inverse of RevisionMessages for one revision.
func Revision(message *wire.RevisionState) (core.WeightKey, core.Revision) {
	key := core.WeightKey{Model: core.ModelID(message.GetModel()), Adapter: core.AdapterID(message.GetAdapter())}
	return key, core.Revision(message.GetRevision())
}

// OwnershipMessage is the form in which the owner of a group travels.
func OwnershipMessage(owner ledger.Ownership) *wire.Ownership {
	return &wire.Ownership{
		Group: &wire.Group{Zone: string(owner.Group.Zone), Kind: uint32(owner.Group.Kind), Name: owner.Group.Name},
		Vm:    string(owner.VM), Incarnation: string(owner.Incarnation), FencingToken: uint64(owner.Token),
	}
}
