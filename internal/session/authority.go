package session

import (
	"sync"
	"time"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// Authority is the table of the leader of shard 0 for one term. It has no way to
// confirm the leadership: between Renewed and Answer the caller does.
type Authority struct {
	self core.VMID
	term uint64

	lock   sync.Mutex // part of the session table, lock 1; never held with a Node's
	table  *lease.Leader
	pushes *lease.Pushes
	// owners and directory are the last ones seen, encoded once for all VMs.
	owners    lease.Owners
	directory *wire.Directory
}

// NewAuthority returns the table of a term that starts now.
func NewAuthority(now time.Time, self core.VMID, term uint64, budget lease.Budget, techniques lease.Techniques) *Authority {
	return &Authority{
		self: self, term: term,
		table:     lease.NewLeader(now, budget),
		pushes:    lease.NewPushes(techniques),
		directory: &wire.Directory{},
	}
}

// Reading is what the authority takes from the replicated state at one moment.
type Reading struct {
	numbers lease.Numbers
	// owners and directory are nil if the directory was seen before.
	owners    lease.Owners
	directory *wire.Directory
	// delta is nil if the VM lacks nothing.
	delta *wire.ConfigDelta
}

// Read reads what a VM with the configuration number lacks, and the directory if it
// is newer than seen. It takes no lock.
func Read(state *ledger.State, seen uint64, has core.ConfigNumber) Reading {
	reading := Reading{numbers: lease.Numbers{Config: state.Number(), Directory: state.DirectoryNumber()}}
	if reading.numbers.Directory > seen {
		reading.owners = lease.OwnersOf(state.Owners())
		reading.directory = directoryMessage(state)
	}
	if has < reading.numbers.Config {
		reading.delta = deltaMessage(state.DeltaSince(has))
	}
	return reading
}

// Seen returns the number of the directory that was read last.
func (authority *Authority) Seen() uint64 {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	return authority.directory.GetNumber()
}

// Observe takes over the newest owners and numbers of the replicated state.
func (authority *Authority) Observe(reading Reading) {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	authority.observe(reading)
}

func (authority *Authority) observe(reading Reading) {
	if reading.directory.GetNumber() > authority.directory.GetNumber() {
		authority.owners = reading.owners
		authority.directory = reading.directory
	}
	authority.pushes.Changed(reading.numbers)
}

// Renewed records a renewal at its receipt.
func (authority *Authority) Renewed(now time.Time, message *wire.Renew) lease.Grant {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	renewal := renewalOf(message)
	authority.pushes.Renewed(now, renewal.Member, numbersOf(message))
	return authority.table.Renew(now, renewal, authority.owners)
}

// Answer returns the answer to a renewal. The reading is made after the leadership
// was confirmed: a lease goes out only with the owners that the leader has applied.
func (authority *Authority) Answer(message *wire.Renew, grant lease.Grant, reading Reading) *wire.RenewResult {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	authority.observe(reading)
	result := &wire.RenewResult{
		Leader: true, LeaderVm: string(authority.self), Sequence: message.GetSequence(),
		ConfigNumber: uint64(reading.numbers.Config), DirectoryNumber: authority.directory.GetNumber(),
	}
	if authority.pushes.CatchesUp() {
		result.Delta = reading.delta
		result.Directory = authority.newer(message.GetDirectoryNumber())
	}
	if grant.Granted {
		result.LeaseMillis = lease.Length.Milliseconds()
		result.LoadSharePerSecond = float64(grant.Share.Loads)
		result.LoadShareTransit = int64(grant.Share.Transit)
	}
	return result
}

// newer returns the directory if its number is above that of a VM.
func (authority *Authority) newer(has uint64) *wire.Directory {
	if has >= authority.directory.GetNumber() {
		return nil
	}
	return authority.directory
}

// Tick returns the assignments to propose.
func (authority *Authority) Tick(now time.Time) []ledger.Assign {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	return authority.table.Tick(now, authority.owners)
}

// Due returns the pushes to send now.
func (authority *Authority) Due(now time.Time) []lease.Push {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	return authority.pushes.Due(now)
}

// Push returns the message of a push.
func (authority *Authority) Push(push lease.Push, reading Reading) *wire.Push {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	authority.observe(reading)
	return &wire.Push{
		Delta: reading.delta, Directory: authority.newer(push.Has.Directory),
		LeaderVm: string(authority.self), Term: authority.term,
	}
}

// Acknowledged records the answer to a push.
func (authority *Authority) Acknowledged(member lease.Member, message *wire.PushResult) {
	authority.lock.Lock()
	defer authority.lock.Unlock()
	authority.pushes.Acknowledged(member, lease.Numbers{
		Config: core.ConfigNumber(message.GetConfigNumber()), Directory: message.GetDirectoryNumber(),
	})
}
