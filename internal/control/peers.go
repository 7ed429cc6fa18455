package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/ownership"
)

// peerMemory is the time for which a control VM is kept in mind without a word of it.
const peerMemory = 60 * time.Second

// Peer is a control VM.
type Peer struct {
	VM              core.VMID
	Zone            core.ZoneID
	OperatorAddress string
}

type knownPeer struct {
	Peer
	heard time.Duration
	// granted is the time of the last lease that this VM, as the leader, gave it.
	granted time.Duration
	// since is the time from which it has been heard without a gap.
	since time.Duration
}

// Peers are the control VMs that this one knows. Use NewPeers.
type Peers struct {
	// lock is table 4 of the lock order.
	lock  sync.Mutex
	peers map[core.VMID]*knownPeer
	seeds []core.VMID
}

// AddSeeds adds control VMs that the settings name.
func (peers *Peers) AddSeeds(seeds []core.VMID) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	for _, seed := range seeds {
		if !slices.Contains(peers.seeds, seed) {
			peers.seeds = append(peers.seeds, seed)
		}
	}
}

// withSeeds returns the known control VMs and those that the settings name.
func (peers *Peers) withSeeds() []core.VMID {
	all := peers.VMs()
	peers.lock.Lock()
	defer peers.lock.Unlock()
	return append(all, peers.seeds...)
}

// NewPeers returns the control VMs known at the start.
func NewPeers(self Peer) *Peers {
	return &Peers{peers: map[core.VMID]*knownPeer{self.VM: {Peer: self, heard: foreverHeard}}}
}

// foreverHeard keeps the own VM known.
const foreverHeard = time.Duration(1<<63 - 1)

// VMs returns the known control VMs, sorted.
func (peers *Peers) VMs() []core.VMID {
	var vms []core.VMID
	for _, peer := range peers.All() {
		vms = append(vms, peer.VM)
	}
	return vms
}

// All returns the known control VMs, sorted by name.
func (peers *Peers) All() []Peer {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	now := clock.Now()
	var all []Peer
	for vm, peer := range peers.peers {
		if peer.heard != foreverHeard && now-peer.heard > peerMemory {
			delete(peers.peers, vm)
			continue
		}
		all = append(all, peer.Peer)
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

// Zone returns the zone of a control VM, empty if it is unknown.
func (peers *Peers) Zone(vm core.VMID) core.ZoneID {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	if peer := peers.peers[vm]; peer != nil {
		return peer.Zone
	}
	return ""
}

func (peers *Peers) addressIn(zone core.ZoneID) string {
	for _, peer := range peers.All() {
		if peer.Zone == zone {
			return peer.OperatorAddress
		}
	}
	return ""
}

// peerGap is the time without a word after which a control VM counts as interrupted.
const peerGap = 3 * time.Second

// hear notes a word of a control VM. It returns true if it was unknown.
func (peers *Peers) hear(now time.Duration, heard Peer) bool {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	known := peers.peers[heard.VM]
	if known == nil {
		peers.peers[heard.VM] = &knownPeer{Peer: heard, heard: now, since: now}
		return true
	}
	if known.heard == foreverHeard {
		return false
	}
	if now-known.heard > peerGap {
		known.since = now
	}
	known.Peer, known.heard = heard, now
	return false
}

// grant notes that a lease was given to a control VM.
func (peers *Peers) grant(now time.Duration, vm core.VMID) {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	if known := peers.peers[vm]; known != nil {
		known.granted = now
	}
}

// standings returns what the leader knows of the control VMs, sorted by name.
func (peers *Peers) standings(now time.Duration) []ownership.Standing {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	var all []ownership.Standing
	for _, peer := range peers.peers {
		all = append(all, ownership.Standing{VM: peer.VM, Zone: peer.Zone, Granted: peer.granted, Steady: now - peer.since})
	}
	slices.SortFunc(all, func(a, b ownership.Standing) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

func peerMessages(peers []Peer) []*wire.ControlVm {
	var messages []*wire.ControlVm
	for _, peer := range peers {
		messages = append(messages, &wire.ControlVm{Vm: string(peer.VM), Zone: string(peer.Zone), OperatorAddress: peer.OperatorAddress})
	}
	return messages
}

func peerOf(message *wire.ControlVm) Peer {
	return Peer{VM: core.VMID(message.GetVm()), Zone: core.ZoneID(message.GetZone()), OperatorAddress: message.GetOperatorAddress()}
}
