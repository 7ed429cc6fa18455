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

// Node is the table of one VM: its leases, the owners of all groups, the lists and
// the convictions.
type Node struct {
	self lease.Member
	zone core.ZoneID

	// applying is held while a list is applied, which takes some milliseconds with
	// 15,000 adapters. It is taken before lock and never while lock is held.
	applying sync.Mutex
	config   core.Config

	lock   sync.Mutex // the session table, lock 1 of section 3.1 of the design page
	holder *lease.Holder
	// whole is set after a delta that gave another hash than the accepted one. The
	// next renewal asks for whole lists.
	whole       bool
	suspicions  map[core.Fingerprint]ledger.Suspicion
	takeoversAt time.Time

	book atomic.Pointer[admission.Book]
}

// NewNode returns the table of a VM that starts now. Others are the other VMs of
// its zone.
func NewNode(now time.Time, self lease.Member, zone core.ZoneID, others []core.VMID, budget lease.Budget) *Node {
	node := &Node{
		self: self, zone: zone,
		holder:     lease.NewHolder(now, self, budget, others...),
		suspicions: make(map[core.Fingerprint]ledger.Suspicion),
	}
	node.book.Store(admission.NewBook(core.Config{}))
	return node
}

// Renewal returns the renewal to send now.
func (node *Node) Renewal(now time.Time, demands []lease.Demand) *wire.Renew {
	number := node.Book().Number()
	node.lock.Lock()
	defer node.lock.Unlock()
	if node.whole {
		number = 0
	}
	sequence, answered := node.holder.Send(now)
	zoneHash, strangers := node.holder.Acquaintance()
	return &wire.Renew{
		Vm: string(node.self.VM), Zone: string(node.zone), Incarnation: string(node.self.Incarnation),
		ConfigNumber: uint64(number), DirectoryNumber: node.holder.Directory(),
		Groups: demandMessages(node.reported(demands)), Draining: node.holder.Draining(),
		Sequence: sequence, Answered: answered,
		ZoneHash: zoneHash, Strangers: namesOf(strangers),
	}
}

// reported adds what the VM knows of the tokens, and the owned groups whose
// upstreams are silent.
func (node *Node) reported(demands []lease.Demand) []lease.Demand {
	reported := slices.Clone(demands)
	for i, demand := range demands {
		if demand.Seen > 0 {
			node.holder.Seen(demand.Group, demand.Seen)
		}
		reported[i].Seen = node.holder.Highest(demand.Group)
	}
	return reported
}

// Answered applies the leader's answer to a renewal. The error is that of a list;
// the lease is extended nevertheless.
func (node *Node) Answered(now time.Time, message *wire.RenewResult) error {
	if !message.GetLeader() {
		return nil
	}
	node.lock.Lock()
	node.learn(now, message.GetDirectory())
	node.holder.Answered(now, answerOf(message))
	node.lock.Unlock()
	return node.apply(message.GetDelta())
}

// Pushed applies a push and returns the numbers that the VM has now.
func (node *Node) Pushed(now time.Time, message *wire.Push) (*wire.PushResult, error) {
	node.lock.Lock()
	node.learn(now, message.GetDirectory())
	directory := node.holder.Directory()
	node.lock.Unlock()
	err := node.apply(message.GetDelta())
	return &wire.PushResult{ConfigNumber: uint64(node.Book().Number()), DirectoryNumber: directory}, err
}

// learn takes over the owners and suspicions of a newer directory. A suspicion ends
// by its time only: the VM may know one that is newer than the directory. The lock is
// held.
func (node *Node) learn(now time.Time, message *wire.Directory) {
	if message == nil || !node.holder.Learn(message.GetNumber(), ownersOf(message)) {
		return
	}
	maps.DeleteFunc(node.suspicions, func(_ core.Fingerprint, one ledger.Suspicion) bool { return one.Until < now.UnixMilli() })
	node.suspect(suspicionsOf(message))
}

// suspect adds suspicions. The lock is held.
func (node *Node) suspect(suspicions []ledger.Suspicion) {
	for _, one := range suspicions {
		known := node.suspicions[one.Fingerprint]
		one.Crashes = max(one.Crashes, known.Crashes)
		one.Until = max(one.Until, known.Until)
		node.suspicions[one.Fingerprint] = one
	}
}

// Suspect adds suspicions that the VM learned as the answer to its own report.
func (node *Node) Suspect(suspicions []ledger.Suspicion) {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.suspect(suspicions)
}

// apply changes the lists. A delta to a lower or equal number, or one that starts at
// another number than the VM has, changes nothing; the next renewal states the
// number and gets what is missing.
func (node *Node) apply(message *wire.ConfigDelta) error {
	if message == nil {
		return nil
	}
	return node.Apply(deltaOf(message))
}

// Apply applies a change of the lists.
func (node *Node) Apply(delta ledger.Delta) error {
	node.applying.Lock()
	defer node.applying.Unlock()
	if delta.To <= node.config.Number || delta.From != 0 && delta.From != node.config.Number {
		return nil
	}
	next, err := delta.Apply(node.config)
	node.lock.Lock()
	node.whole = err != nil
	node.lock.Unlock()
	if err != nil {
		return errors.Wrapf(err, "apply configuration %d", delta.To)
	}
	node.config = next
	node.book.Store(admission.NewBook(next))
	return nil
}

// Book returns the accepted lists.
func (node *Node) Book() *admission.Book {
	return node.book.Load()
}

// Age returns the time since the last lease ended or, without one, since the last
// contact to the leader. It is zero while the VM has a lease.
func (node *Node) Age(now time.Time) time.Duration {
	node.lock.Lock()
	defer node.lock.Unlock()
	if node.holder.Leased(now) {
		return 0
	}
	return now.Sub(node.holder.LastContact())
}

// Lease returns the fencing token of the group, and until when this VM is its only
// dispatcher.
func (node *Node) Lease(now time.Time, group core.GroupID) (core.FencingToken, time.Time, bool) {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.holder.Held(now, group)
}

// Owner returns the VM that owns the group.
func (node *Node) Owner(now time.Time, group core.GroupID) (core.VMID, bool) {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.holder.Owner(now, group)
}

// Owners returns the owners of all groups as the leader last told, sorted by group.
func (node *Node) Owners() []ledger.Ownership {
	node.lock.Lock()
	defer node.lock.Unlock()
	return slices.SortedFunc(maps.Values(node.holder.Owners()), func(a, b ledger.Ownership) int {
		return cmp.Compare(a.Group.String(), b.Group.String())
	})
}

// Groups returns the groups of a kind and name, the own zone's first.
func (node *Node) Groups(now time.Time, kind core.GroupKind, name string) []core.GroupID {
	node.lock.Lock()
	defer node.lock.Unlock()
	own := core.GroupID{Zone: node.zone, Kind: kind, Name: name}
	var groups []core.GroupID
	if _, ok := node.holder.Owner(now, own); ok {
		groups = append(groups, own)
	}
	for _, group := range slices.SortedFunc(maps.Keys(node.holder.Owners()), lease.CompareGroups) {
		if group.Kind == kind && group.Name == name && group.Zone != node.zone {
			groups = append(groups, group)
		}
	}
	return groups
}

// Share returns the part of the store's budget that this VM may use now.
func (node *Node) Share(now time.Time) lease.Share {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.holder.Share(now)
}

// Crashes returns the number of upstreams that a request has crashed; zero after its
// suspicion has ended.
func (node *Node) Crashes(now time.Time, fingerprint core.Fingerprint) int {
	node.lock.Lock()
	defer node.lock.Unlock()
	one := node.suspicions[fingerprint]
	if one.Until < now.UnixMilli() {
		return 0
	}
	return one.Crashes
}

// Drain gives up every group for the rest of this run.
func (node *Node) Drain() {
	node.lock.Lock()
	defer node.lock.Unlock()
	node.holder.Drain()
}

// Owning reports whether the directory still names this run of the VM as an owner.
func (node *Node) Owning() bool {
	node.lock.Lock()
	defer node.lock.Unlock()
	for _, owned := range node.holder.Owners() {
		if owned.VM == node.self.VM && owned.Incarnation == node.self.Incarnation {
			return true
		}
	}
	return false
}
