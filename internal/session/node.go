package session

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/admission"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Node holds the session state of one VM: its leases, the owners of all groups, the
// plans and grants, and the convictions.
type Node struct {
	self lease.Member
	zone core.ZoneID

	// configLock is held while a configuration is applied, which takes some
	// milliseconds with 15,000 adapters. It is taken before lock and never while lock
	// is held.
	configLock sync.Mutex
	config     core.Config

	lock   sync.Mutex // lock 1 of the lock order that package vm documents
	holder *lease.Holder
	// needsFullLists is set after a delta whose result does not have the accepted
	// hash. The next renewal then requests full lists.
	needsFullLists bool
	suspicions     map[core.Fingerprint]ledger.Suspicion
	lastTakeovers  time.Time

	index atomic.Pointer[admission.Index]
}

// NewNode returns the Node of a VM that starts at now. others are the other VMs of its
// zone.
func NewNode(now time.Time, self lease.Member, zone core.ZoneID, others []core.VMID, budget lease.Budget) *Node {
	node := &Node{
		self: self, zone: zone,
		holder:     lease.NewHolder(now, self, budget, others...),
		suspicions: make(map[core.Fingerprint]ledger.Suspicion),
	}
	node.index.Store(admission.NewIndex(core.Config{}))
	return node
}

// Renewal returns the renewal to send at now.
func (node *Node) Renewal(now time.Time, demands []lease.Demand) *wire.Renew {
	number := node.Index().Number()
	node.lock.Lock()
	defer node.lock.Unlock()
	if node.needsFullLists {
		number = 0
	}
	sequence, answered := node.holder.BeginRenewal(now)
	zoneHash, strangers := node.holder.ZoneStatus()
	return &wire.Renew{
		Vm: string(node.self.VM), Zone: string(node.zone), Incarnation: string(node.self.Incarnation),
		ConfigNumber: uint64(number), DirectoryNumber: node.holder.DirectoryNumber(),
		Groups: demandsToWire(node.withTokens(demands)), Draining: node.holder.Draining(),
		Sequence: sequence, Answered: answered,
		ZoneHash: zoneHash, Strangers: vmNames(strangers),
	}
}

// withTokens returns a copy of demands in which each group has the highest fencing
// token that the VM knows of. The lock is held.
func (node *Node) withTokens(demands []lease.Demand) []lease.Demand {
	reported := slices.Clone(demands)
	for i, demand := range demands {
		if demand.Seen > 0 {
			node.holder.ObserveToken(demand.Group, demand.Seen)
		}
		reported[i].Seen = node.holder.HighestToken(demand.Group)
	}
	return reported
}

// ApplyAnswer applies the leader's answer to a renewal. The error reports a configuration
// that could not be applied; the lease is extended even then.
func (node *Node) ApplyAnswer(now time.Time, message *wire.RenewResult) error {
	if !message.GetLeader() {
		return nil
	}
	node.lock.Lock()
	node.applyDirectory(now, message.GetDirectory())
	node.holder.HandleAnswer(now, answerFromWire(message))
	node.lock.Unlock()
	return node.applyDelta(message.GetDelta())
}

// ApplyPush applies a push and returns the numbers that the VM has afterwards. The error
// reports a configuration that could not be applied.
func (node *Node) ApplyPush(now time.Time, message *wire.Push) (*wire.PushResult, error) {
	node.lock.Lock()
	node.applyDirectory(now, message.GetDirectory())
	directory := node.holder.DirectoryNumber()
	node.lock.Unlock()
	err := node.applyDelta(message.GetDelta())
	return &wire.PushResult{ConfigNumber: uint64(node.Index().Number()), DirectoryNumber: directory}, err
}

// applyDirectory applies the owners and suspicions of a newer directory. A suspicion
// is only removed when it expires, because the VM may have one that is newer than the
// directory. The lock is held.
func (node *Node) applyDirectory(now time.Time, message *wire.Directory) {
	if message == nil || !node.holder.UpdateOwners(message.GetNumber(), ownersFromWire(message)) {
		return
	}
	maps.DeleteFunc(node.suspicions, func(_ core.Fingerprint, suspicion ledger.Suspicion) bool { return suspicion.Until < now.UnixMilli() })
	node.addSuspicions(suspicionsFromWire(message))
}

// addSuspicions adds suspicions. For a known fingerprint it keeps the higher number of
// crashes and the later end. The lock is held.
func (node *Node) addSuspicions(suspicions []ledger.Suspicion) {
	for _, suspicion := range suspicions {
		known := node.suspicions[suspicion.Fingerprint]
		suspicion.Crashes = max(suspicion.Crashes, known.Crashes)
		suspicion.Until = max(suspicion.Until, known.Until)
		node.suspicions[suspicion.Fingerprint] = suspicion
	}
}

// AddSuspicions adds the suspicions with which the leader answered this VM's own crash
// report.
func (node *Node) AddSuspicions(suspicions []ledger.Suspicion) {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.addSuspicions(suspicions)
}

// applyDelta applies a change of the plans and grants. A delta to a lower or equal
// number, or one that starts at another number than the VM has, changes nothing: the
// next renewal states the VM's number and its answer carries what is missing.
func (node *Node) applyDelta(message *wire.ConfigDelta) error {
	if message == nil {
		return nil
	}
	return node.Apply(deltaFromWire(message))
}

// Apply applies a change of the plans and grants. It returns an error if the result
// does not match the accepted configuration.
func (node *Node) Apply(delta ledger.Delta) error {
	node.configLock.Lock()
	defer node.configLock.Unlock()
	if delta.To <= node.config.Number || delta.From != 0 && delta.From != node.config.Number {
		return nil
	}
	next, err := delta.Apply(node.config)
	node.lock.Lock()
	node.needsFullLists = err != nil
	node.lock.Unlock()
	if err != nil {
		return errors.Wrapf(err, "apply configuration %d", delta.To)
	}
	node.config = next
	node.index.Store(admission.NewIndex(next))
	return nil
}

// Index returns the index of the accepted plans and grants.
func (node *Node) Index() *admission.Index {
	return node.index.Load()
}

// ConfigAge returns zero while the VM has a lease from the leader. Otherwise it returns
// the time from the receipt of the last such lease to now, or from the VM's start if it
// received none.
func (node *Node) ConfigAge(now time.Time) time.Duration {
	node.lock.Lock()
	defer node.lock.Unlock()
	if node.holder.Leased(now) {
		return 0
	}
	return now.Sub(node.holder.LastContact())
}

// Lease returns the fencing token of a group and the time until which this VM is its
// only dispatcher. The last result is false if the VM has no lease on the group.
func (node *Node) Lease(now time.Time, group core.GroupID) (core.FencingToken, time.Time, bool) {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.holder.Held(now, group)
}

// Owner returns the VM that owns the group, and false if none is known.
func (node *Node) Owner(now time.Time, group core.GroupID) (core.VMID, bool) {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.holder.Owner(now, group)
}

// Owners returns the owners of all groups in the newest directory, sorted by group.
func (node *Node) Owners() []ledger.Ownership {
	node.lock.Lock()
	defer node.lock.Unlock()
	return slices.SortedFunc(maps.Values(node.holder.Owners()), func(a, b ledger.Ownership) int {
		return cmp.Compare(a.Group.String(), b.Group.String())
	})
}

// Groups returns the groups with a kind and name, the one of the VM's own zone first.
func (node *Node) Groups(now time.Time, kind core.GroupKind, name string) []core.GroupID {
	node.lock.Lock()
	defer node.lock.Unlock()
	ownZoneGroup := core.GroupID{Zone: node.zone, Kind: kind, Name: name}
	var groups []core.GroupID
	if _, ok := node.holder.Owner(now, ownZoneGroup); ok {
		groups = append(groups, ownZoneGroup)
	}
	for _, group := range slices.SortedFunc(maps.Keys(node.holder.Owners()), lease.CompareGroups) {
		if group.Kind == kind && group.Name == name && group.Zone != node.zone {
			groups = append(groups, group)
		}
	}
	return groups
}

// Share returns the part of the weight store's budget that this VM may use at now.
func (node *Node) Share(now time.Time) lease.Share {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.holder.Share(now)
}

// Crashes returns how many upstreams a request has crashed. It returns zero once the
// suspicion has expired.
func (node *Node) Crashes(now time.Time, fingerprint core.Fingerprint) int {
	node.lock.Lock()
	defer node.lock.Unlock()
	suspicion := node.suspicions[fingerprint]
	if suspicion.Until < now.UnixMilli() {
		return 0
	}
	return suspicion.Crashes
}

// Drain gives up all groups until the VM restarts.
func (node *Node) Drain() {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.holder.Drain()
}

// OwnsGroups reports whether the directory names this incarnation of the VM as the owner
// of any group.
func (node *Node) OwnsGroups() bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	for _, ownership := range node.holder.Owners() {
		if ownership.VM == node.self.VM && ownership.Incarnation == node.self.Incarnation {
			return true
		}
	}
	return false
}
