package peer

import (
	"slices"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/residency"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// InstanceMessage returns the message that carries an upstream instance.
func InstanceMessage(instance core.Instance) *wire.InstanceState {
	message := &wire.InstanceState{
		Upstream: string(instance.Upstream), BornUnixMillis: instance.Born, Sequence: instance.Sequence,
		Service: string(instance.Service), Software: string(instance.Software), Address: instance.Address, Zone: string(instance.Zone),
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

// InstanceFromMessage returns the upstream instance that a message carries. It is the
// inverse of InstanceMessage.
func InstanceFromMessage(message *wire.InstanceState) core.Instance {
	instance := core.Instance{
		Upstream: core.UpstreamID(message.GetUpstream()), Born: message.GetBornUnixMillis(), Sequence: message.GetSequence(),
		Service: core.ServiceID(message.GetService()), Software: core.SoftwareVersion(message.GetSoftware()), Address: message.GetAddress(), Zone: core.ZoneID(message.GetZone()),
		Slots: int(message.GetSlots()), Leaving: message.GetLeaving(), Gone: message.GetGone(), Silent: message.GetSilent(),
	}
	for _, weights := range message.GetWeights() {
		model := core.ModelID(weights.GetModel())
		index := slices.IndexFunc(instance.Models, func(held core.ModelResidency) bool { return held.Model == model })
		if index < 0 {
			index = len(instance.Models)
			instance.Models = append(instance.Models, core.ModelResidency{Model: model, Adapters: make(map[core.AdapterID]core.Revision)})
		}
		if weights.GetAdapter() != "" {
			instance.Models[index].Adapters[core.AdapterID(weights.GetAdapter())] = core.Revision(weights.GetRevision())
		}
	}
	return instance
}

// ResidencyMessage returns the message that carries a change of the weights that an
// engine holds, under the fencing token of the engines' owner.
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

// ResidencyFromMessage returns the change and the fencing token that a message carries.
// It is the inverse of ResidencyMessage.
func ResidencyFromMessage(message *wire.Residency) (residency.Change, core.FencingToken) {
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

// RevisionMessages returns the messages that carry adapter revisions, one for each.
func RevisionMessages(revisions []ledger.Revision) []*wire.RevisionState {
	messages := make([]*wire.RevisionState, 0, len(revisions))
	for _, revision := range revisions {
		messages = append(messages, &wire.RevisionState{
			Model: string(revision.Weights.Model), Adapter: string(revision.Weights.Adapter), Revision: uint64(revision.Revision),
		})
	}
	return messages
}

// RevisionFromMessage returns the weights and their revision that a message carries. It
// is the inverse of RevisionMessages for one revision.
func RevisionFromMessage(message *wire.RevisionState) (core.WeightKey, core.Revision) {
	key := core.WeightKey{Model: core.ModelID(message.GetModel()), Adapter: core.AdapterID(message.GetAdapter())}
	return key, core.Revision(message.GetRevision())
}

// OwnershipMessage returns the message that carries the owner of a group.
func OwnershipMessage(owner ledger.Ownership) *wire.Ownership {
	return &wire.Ownership{
		Group: &wire.Group{Zone: string(owner.Group.Zone), Kind: uint32(owner.Group.Kind), Name: owner.Group.Name},
		Vm:    string(owner.VM), Incarnation: string(owner.Incarnation), FencingToken: uint64(owner.Token),
	}
}
