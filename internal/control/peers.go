package control

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/ownership"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// peerTTL is the time after the last contact at which a control VM is removed.
const peerTTL = 60 * time.Second

// Peer identifies a control VM and the address at which operators reach it.
type Peer struct {
	VM              core.VMID
	Zone            core.ZoneID
	OperatorAddress string
}

// knownPeer is a peer with the times of its contacts and leases.
type knownPeer struct {
	Peer
	lastHeard time.Duration
	// lastGrant is the time of the last lease that this VM, as the leader, granted it.
	lastGrant time.Duration
	// heardSince is the time from which it was heard of without a gap above maxContactGap.
	heardSince time.Duration
	// features are those that the VM itself has stated last.
	features []core.Feature
}

// Peers is the set of control VMs that this one knows. Use NewPeers.
type Peers struct {
	// lock has position 4 in the lock order.
	lock  sync.Mutex
	peers map[core.VMID]*knownPeer
	seeds []core.VMID
}

// AddSeeds adds control VMs from the settings.
func (peers *Peers) AddSeeds(seeds []core.VMID) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	for _, seed := range seeds {
		if !slices.Contains(peers.seeds, seed) {
			peers.seeds = append(peers.seeds, seed)
		}
	}
}

// withSeeds returns the known control VMs and those from the settings; a VM may
// appear twice.
func (peers *Peers) withSeeds() []core.VMID {
	all := peers.IDs()
	peers.lock.Lock()
	defer peers.lock.Unlock()
	return append(all, peers.seeds...)
}

// NewPeers returns a set that holds only the VM itself.
func NewPeers(self Peer) *Peers {
	return &Peers{peers: map[core.VMID]*knownPeer{self.VM: {Peer: self, lastHeard: alwaysHeard}}}
}

// alwaysHeard marks the VM itself, which never expires.
const alwaysHeard = time.Duration(1<<63 - 1)

// IDs returns the ids of the known control VMs, sorted.
func (peers *Peers) IDs() []core.VMID {
	var vms []core.VMID
	for _, peer := range peers.All() {
		vms = append(vms, peer.VM)
	}
	return vms
}

// All removes expired control VMs and returns the others, sorted by id.
func (peers *Peers) All() []Peer {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	now := clock.Now()
	var all []Peer
	for vm, peer := range peers.peers {
		if peer.lastHeard != alwaysHeard && now-peer.lastHeard > peerTTL {
			delete(peers.peers, vm)
			continue
		}
		all = append(all, peer.Peer)
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

// Zone returns the zone of a control VM, empty if the VM is unknown.
func (peers *Peers) Zone(vm core.VMID) core.ZoneID {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	if peer := peers.peers[vm]; peer != nil {
		return peer.Zone
	}
	return ""
}

// operatorAddress returns the operator address of the first control VM in a zone, empty if
// none is known.
func (peers *Peers) operatorAddress(zone core.ZoneID) string {
	for _, peer := range peers.All() {
		if peer.Zone == zone {
			return peer.OperatorAddress
		}
	}
	return ""
}

// maxContactGap is the longest time between two contacts that does not count as an
// interruption.
const maxContactGap = 3 * time.Second

// recordContact records a contact with a control VM at the time now, which is in the past
// if another VM reports it. It returns true if the VM was unknown.
func (peers *Peers) recordContact(now time.Duration, heard Peer) bool {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	known := peers.peers[heard.VM]
	if known == nil {
		peers.peers[heard.VM] = &knownPeer{Peer: heard, lastHeard: now, heardSince: now}
		return true
	}
	if known.lastHeard == alwaysHeard || known.lastHeard >= now {
		return false
	}
	if now-known.lastHeard > maxContactGap {
		known.heardSince = now
	}
	known.Peer, known.lastHeard = heard, now
	return false
}

// recordGrant records that a lease was granted to a control VM.
func (peers *Peers) recordGrant(now time.Duration, vm core.VMID) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	if known := peers.peers[vm]; known != nil {
		known.lastGrant = now
	}
}

// recordFeatures records the features that a known control VM has stated.
func (peers *Peers) recordFeatures(vm core.VMID, features []core.Feature) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	if known := peers.peers[vm]; known != nil {
		known.features = features
	}
}

// RefuseCommand returns why this VM, as the leader, must not commit a command: a control VM in
// contact has not stated that it can apply the route table, or a known one not that it can apply the
// form of the command. It returns "" if the command may be committed.
func (peers *Peers) RefuseCommand(command ledger.Command) string {
	if command.ChangeRoutes == nil && command.PutRoutes == nil {
		return ""
	}
	peers.lock.Lock()
	defer peers.lock.Unlock()
	now := clock.Now()
	for vm, peer := range peers.peers {
		if peer.lastHeard == alwaysHeard {
			continue
		}
		if lacks := lackingFeatures(command, peer, now); len(lacks) > 0 {
			return fmt.Sprintf("the control VM %s has not stated that it can apply %s", vm, lacks[0])
		}
	}
	return ""
}

// lackingFeatures returns the features of a command that a control VM has not stated. A VM that
// cannot apply the form of a command and is out of contact would keep an older table once it is
// back, so it counts for as long as it is known.
func lackingFeatures(command ledger.Command, peer *knownPeer, now time.Duration) []core.Feature {
	var lacks []core.Feature
	if now-peer.lastHeard <= maxContactGap {
		var table core.RouteTable
		if command.PutRoutes != nil {
			table = command.PutRoutes.Table
		} else {
			table.Workspaces = command.ChangeRoutes.Change.Workspaces
		}
		lacks = table.Unsupported(peer.features)
	}
	compact := command.ChangeRoutes != nil || command.PutRoutes != nil && command.PutRoutes.Compressed
	if compact && !slices.Contains(peer.features, core.RouteChangeFeature) {
		lacks = append(lacks, core.RouteChangeFeature)
	}
	return lacks
}

// statuses returns, sorted by id, the zone of each control VM, the time of its last lease
// and the time for which it has been heard of without a gap.
func (peers *Peers) statuses(now time.Duration) []ownership.VMState {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	var all []ownership.VMState
	for _, peer := range peers.peers {
		all = append(all, ownership.VMState{VM: peer.VM, Zone: peer.Zone, Granted: peer.lastGrant, Steady: now - peer.heardSince})
	}
	slices.SortFunc(all, func(a, b ownership.VMState) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

// messages returns the known control VMs, sorted by id, with the times since their last
// contacts.
func (peers *Peers) messages(now time.Duration) []*wire.ControlVm {
	var messages []*wire.ControlVm
	for _, peer := range peers.All() {
		messages = append(messages, &wire.ControlVm{
			Vm: string(peer.VM), Zone: string(peer.Zone), OperatorAddress: peer.OperatorAddress,
			HeardMillisAgo: uint32(peers.heardAgo(now, peer.VM).Milliseconds()),
		})
	}
	return messages
}

// messagesWithFeatures returns the same messages with the features that the VMs have stated. A
// leader that has just been elected knows of others only what the one before has told it.
func (peers *Peers) messagesWithFeatures(now time.Duration) []*wire.ControlVm {
	messages := peers.messages(now)
	peers.lock.Lock()
	defer peers.lock.Unlock()
	for _, message := range messages {
		known := peers.peers[core.VMID(message.GetVm())]
		switch {
		case known == nil:
		case known.lastHeard == alwaysHeard:
			message.Features = peer.FeatureMessages(core.SupportedFeatures())
		default:
			message.Features = peer.FeatureMessages(known.features)
		}
	}
	return messages
}

// heardAgo returns the time since the last contact with a control VM, and zero for this VM
// and for an unknown one.
func (peers *Peers) heardAgo(now time.Duration, vm core.VMID) time.Duration {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	known := peers.peers[vm]
	if known == nil || known.lastHeard == alwaysHeard {
		return 0
	}
	return max(0, now-known.lastHeard)
}

// recordMentions records the contacts that another control VM reports. It returns true if
// one of the VMs was unknown. A VM whose reported contact is older than peerTTL is not added.
func (peers *Peers) recordMentions(now time.Duration, messages []*wire.ControlVm) bool {
	changed := false
	for _, message := range messages {
		ago := time.Duration(message.GetHeardMillisAgo()) * time.Millisecond
		if ago < peerTTL {
			changed = peers.recordContact(now-ago, parsePeer(message)) || changed
			peers.recordMentionedFeatures(now-ago, message)
		}
	}
	return changed
}

// recordMentionedFeatures records the features that another control VM reports of one that it has
// heard of at the time heard, unless this VM has heard of it since: it may have been started with
// another build.
func (peers *Peers) recordMentionedFeatures(heard time.Duration, message *wire.ControlVm) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	known := peers.peers[core.VMID(message.GetVm())]
	if known != nil && known.lastHeard <= heard && len(message.GetFeatures()) > 0 {
		known.features = peer.FeaturesFromMessage(message.GetFeatures())
	}
}

func parsePeer(message *wire.ControlVm) Peer {
	return Peer{VM: core.VMID(message.GetVm()), Zone: core.ZoneID(message.GetZone()), OperatorAddress: message.GetOperatorAddress()}
}
