package session

import (
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Authority holds the session state of the leader of shard 0 for one term. It cannot
// confirm the leadership itself: the caller confirms it between RecordRenewal and
// RenewResult.
type Authority struct {
	self core.VMID
	term uint64

	lock    sync.Mutex // lock 1 of the lock order; never held together with a Node's lock
	table   *lease.Leader
	tracker *lease.PushTracker
	// owners and directory are the newest ones read from the replicated state.
	// directory is encoded once for all VMs.
	owners    lease.Owners
	directory *wire.Directory
}

// NewAuthority returns the Authority for a term that starts at now.
func NewAuthority(now time.Time, self core.VMID, term uint64, budget lease.Budget, options lease.DeliveryOptions) *Authority {
	return &Authority{
		self: self, term: term,
		table:     lease.NewLeader(now, budget),
		tracker:   lease.NewPushTracker(options),
		directory: &wire.Directory{},
	}
}

// StateReading holds what ReadState returns from the replicated state at one moment.
type StateReading struct {
	numbers lease.VersionNumbers
	// owners and directory are nil if the directory is not newer than the one already
	// read.
	owners    lease.Owners
	directory *wire.Directory
	// delta is nil if the VM has the newest configuration.
	delta *wire.ConfigDelta
}

// ReadState returns the changes that a VM with configuration configNumber lacks, and the
// directory if its number is above seenDirectory. It takes no lock.
func ReadState(state *ledger.State, seenDirectory uint64, configNumber core.ConfigNumber) StateReading {
	reading := StateReading{numbers: lease.VersionNumbers{Config: state.Number(), Directory: state.DirectoryNumber()}}
	if reading.numbers.Directory > seenDirectory {
		reading.owners = lease.OwnersOf(state.Owners())
		reading.directory = directoryToWire(state)
	}
	if configNumber < reading.numbers.Config {
		reading.delta = deltaToWire(state.DeltaSince(configNumber))
	}
	return reading
}

// SeenDirectory returns the number of the newest directory that was read.
func (authority *Authority) SeenDirectory() uint64 {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	return authority.directory.GetNumber()
}

// Observe stores the owners of reading if they are newer and records its numbers for
// the pushes.
func (authority *Authority) Observe(reading StateReading) {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	authority.observe(reading)
}

func (authority *Authority) observe(reading StateReading) {
	if reading.directory.GetNumber() > authority.directory.GetNumber() {
		authority.owners = reading.owners
		authority.directory = reading.directory
	}
	authority.tracker.UpdateNewest(reading.numbers)
}

// RecordRenewal records a renewal received at now and returns the decision on its lease.
func (authority *Authority) RecordRenewal(now time.Time, message *wire.Renew) lease.Grant {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	renewal := renewalFromWire(message)
	authority.tracker.RecordRenewal(now, renewal.Member, numbersFromWire(message))
	return authority.table.Renew(now, renewal, authority.owners)
}

// RenewResult returns the response to a renewal. The caller reads the state after it
// confirmed the leadership, so a lease is only granted for owners that the leader has
// applied.
func (authority *Authority) RenewResult(message *wire.Renew, grant lease.Grant, reading StateReading) *wire.RenewResult {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	authority.observe(reading)
	result := &wire.RenewResult{
		Leader: true, LeaderVm: string(authority.self), Sequence: message.GetSequence(),
		ConfigNumber: uint64(reading.numbers.Config), DirectoryNumber: authority.directory.GetNumber(),
	}
	if authority.tracker.DeliversOnRenewal() {
		result.Delta = reading.delta
		result.Directory = authority.newerDirectory(message.GetDirectoryNumber())
	}
	if grant.Granted {
		result.LeaseMillis = lease.Length.Milliseconds()
		result.LoadSharePerSecond = float64(grant.Share.Loads)
		result.LoadShareTransit = int64(grant.Share.Transit)
	}
	return result
}

// newerDirectory returns the directory if its number is above known, and nil otherwise.
func (authority *Authority) newerDirectory(known uint64) *wire.Directory {
	if known >= authority.directory.GetNumber() {
		return nil
	}
	return authority.directory
}

// DueAssignments returns the owner assignments to propose at now.
func (authority *Authority) DueAssignments(now time.Time) []ledger.Assign {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	return authority.table.Tick(now, authority.owners)
}

// DuePushes returns the pushes to send at now.
func (authority *Authority) DuePushes(now time.Time) []lease.Push {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	return authority.tracker.TakeDue(now)
}

// PushMessage returns the wire message of a push.
func (authority *Authority) PushMessage(push lease.Push, reading StateReading) *wire.Push {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	authority.observe(reading)
	return &wire.Push{
		Delta: reading.delta, Directory: authority.newerDirectory(push.Has.Directory),
		LeaderVm: string(authority.self), Term: authority.term,
	}
}

// RecordAcknowledgment records the numbers with which a VM answered a push.
func (authority *Authority) RecordAcknowledgment(member lease.Member, message *wire.PushResult) {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	authority.tracker.RecordAcknowledgment(member, lease.VersionNumbers{
		Config: core.ConfigNumber(message.GetConfigNumber()), Directory: message.GetDirectoryNumber(),
	})
}
