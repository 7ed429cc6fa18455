package session

import (
	"encoding/json"
	"time"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

func renewalFromWire(message *wire.Renew) lease.Renewal {
	renewal := lease.Renewal{
		Member:   lease.Member{VM: core.VMID(message.GetVm()), Incarnation: core.Incarnation(message.GetIncarnation())},
		Zone:     core.ZoneID(message.GetZone()),
		Sequence: message.GetSequence(),
		Answered: message.GetAnswered(),
		Draining: message.GetDraining(),
		ZoneHash: message.GetZoneHash(),
	}
	for _, vm := range message.GetStrangers() {
		renewal.Strangers = append(renewal.Strangers, core.VMID(vm))
	}
	for _, demand := range message.GetGroups() {
		renewal.Demands = append(renewal.Demands, lease.Demand{
			Group:         peer.GroupFromMessage(demand.GetGroup()),
			Wanted:        demand.GetWanted(),
			Loads:         core.LoadsPerSecond(demand.GetLoadDemand()),
			ChecksFencing: demand.GetChecksFencing(),
			Seen:          core.FencingToken(demand.GetHighestToken()),
		})
	}
	return renewal
}

func demandsToWire(demands []lease.Demand) []*wire.GroupDemand {
	messages := make([]*wire.GroupDemand, len(demands))
	for i, demand := range demands {
		messages[i] = &wire.GroupDemand{
			Group:         peer.GroupMessage(demand.Group),
			Wanted:        demand.Wanted,
			LoadDemand:    float64(demand.Loads),
			ChecksFencing: demand.ChecksFencing,
			HighestToken:  uint64(demand.Seen),
		}
	}
	return messages
}

func vmNames(vms []core.VMID) []string {
	var names []string
	for _, vm := range vms {
		names = append(names, string(vm))
	}
	return names
}

func numbersFromWire(message *wire.Renew) lease.VersionNumbers {
	return lease.VersionNumbers{Config: core.ConfigNumber(message.GetConfigNumber()), Directory: message.GetDirectoryNumber()}
}

func answerFromWire(message *wire.RenewResult) lease.Answer {
	return lease.Answer{
		Sequence:  message.GetSequence(),
		Granted:   message.GetLeaseMillis() > 0,
		Length:    time.Duration(message.GetLeaseMillis()) * time.Millisecond,
		Directory: message.GetDirectoryNumber(),
		Share: lease.Share{
			Loads:   core.LoadsPerSecond(message.GetLoadSharePerSecond()),
			Transit: int(message.GetLoadShareTransit()),
		},
	}
}

func ownersFromWire(message *wire.Directory) lease.Owners {
	owners := make(lease.Owners, len(message.GetOwners()))
	for _, ownership := range message.GetOwners() {
		group := peer.GroupFromMessage(ownership.GetGroup())
		owners[group] = ledger.Ownership{
			Group:       group,
			VM:          core.VMID(ownership.GetVm()),
			Incarnation: core.Incarnation(ownership.GetIncarnation()),
			Token:       core.FencingToken(ownership.GetFencingToken()),
		}
	}
	return owners
}

func suspicionsFromWire(message *wire.Directory) []ledger.Suspicion {
	var suspicions []ledger.Suspicion
	for _, conviction := range message.GetConvictions() {
		suspicions = append(suspicions, ledger.Suspicion{
			Fingerprint: core.Fingerprint(conviction.GetFingerprint()),
			Crashes:     int(conviction.GetCrashes()),
			Until:       conviction.GetUntilUnixMillis(),
		})
	}
	return suspicions
}

func directoryToWire(state *ledger.State) *wire.Directory {
	message := &wire.Directory{Number: state.DirectoryNumber()}
	for _, ownership := range state.Owners() {
		message.Owners = append(message.Owners, &wire.Ownership{
			Group:        peer.GroupMessage(ownership.Group),
			Vm:           string(ownership.VM),
			Incarnation:  string(ownership.Incarnation),
			FencingToken: uint64(ownership.Token),
		})
	}
	for _, suspicion := range state.SuspectedRequests() {
		message.Convictions = append(message.Convictions, &wire.Conviction{
			Fingerprint:     string(suspicion.Fingerprint),
			Crashes:         uint32(suspicion.Crashes),
			UntilUnixMillis: suspicion.Until,
		})
	}
	return message
}

func deltaToWire(delta ledger.Delta) *wire.ConfigDelta {
	message := &wire.ConfigDelta{From: uint64(delta.From), To: uint64(delta.To), Hash: delta.Hash, AcceptedUnixMillis: delta.At}
	for _, entry := range delta.Plans {
		message.Plans = append(message.Plans, entry)
	}
	for _, entry := range delta.Grants {
		message.Grants = append(message.Grants, entry)
	}
	for _, plan := range delta.RemovedPlans {
		message.RemovedPlans = append(message.RemovedPlans, string(plan))
	}
	for _, plan := range delta.RemovedGrants {
		message.RemovedGrants = append(message.RemovedGrants, string(plan))
	}
	return message
}

func deltaFromWire(message *wire.ConfigDelta) ledger.Delta {
	delta := ledger.Delta{
		From: core.ConfigNumber(message.GetFrom()), To: core.ConfigNumber(message.GetTo()),
		Hash: message.GetHash(), At: message.GetAcceptedUnixMillis(),
	}
	for _, entry := range message.GetPlans() {
		delta.Plans = append(delta.Plans, json.RawMessage(entry))
	}
	for _, entry := range message.GetGrants() {
		delta.Grants = append(delta.Grants, json.RawMessage(entry))
	}
	for _, plan := range message.GetRemovedPlans() {
		delta.RemovedPlans = append(delta.RemovedPlans, core.PlanID(plan))
	}
	for _, plan := range message.GetRemovedGrants() {
		delta.RemovedGrants = append(delta.RemovedGrants, core.PlanID(plan))
	}
	return delta
}

func consentToWire(request lease.ConsentRequest) *wire.Consent {
	message := &wire.Consent{
		Vm: string(request.VM), Incarnation: string(request.Incarnation), DurationMillis: request.Length.Milliseconds(),
	}
	for i, group := range request.Groups {
		message.Groups = append(message.Groups, peer.GroupMessage(group))
		message.Tokens = append(message.Tokens, uint64(request.Tokens[i]))
	}
	return message
}

func consentFromWire(message *wire.Consent) lease.ConsentRequest {
	request := lease.ConsentRequest{
		Member: lease.Member{VM: core.VMID(message.GetVm()), Incarnation: core.Incarnation(message.GetIncarnation())},
		Length: time.Duration(message.GetDurationMillis()) * time.Millisecond,
	}
	for _, group := range message.GetGroups() {
		request.Groups = append(request.Groups, peer.GroupFromMessage(group))
	}
	for _, token := range message.GetTokens() {
		request.Tokens = append(request.Tokens, core.FencingToken(token))
	}
	return request
}
