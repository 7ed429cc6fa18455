package lease

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// The times of pushes. A push that stays without an answer is repeated twice;
// after that the next renewal carries the number and heals it.
const (
	PushRetry    = 250 * time.Millisecond
	pushAttempts = 3
)

// Numbers are the configuration and the directory that a VM has.
type Numbers struct {
	Config    core.ConfigNumber
	Directory uint64
}

func (numbers Numbers) behind(newest Numbers) bool {
	return numbers.Config < newest.Config || numbers.Directory < newest.Directory
}

// Techniques chooses how VMs get changes. The zero value pushes them and lets the
// renewals catch up on what was missed; the others are for comparison.
type Techniques struct {
	NoPush    bool
	NoCatchUp bool
}

// Pushes is the leader's list of what each VM has. Numbers only grow: a late
// answer takes nothing back. A restarted VM is another member.
type Pushes struct {
	techniques Techniques
	newest     Numbers
	vms        map[Member]*pushState
}

type pushState struct {
	has Numbers
	// tried is the newest number at the last push.
	tried    Numbers
	attempts int
	last     time.Time
	heard    time.Time
}

// NewPushes returns an empty list.
func NewPushes(techniques Techniques) *Pushes {
	return &Pushes{techniques: techniques, vms: make(map[Member]*pushState)}
}

// CatchesUp reports whether the answer to a renewal carries what the VM misses.
func (pushes *Pushes) CatchesUp() bool {
	return !pushes.techniques.NoCatchUp
}

// Changed sets the newest numbers. Smaller ones are ignored.
func (pushes *Pushes) Changed(newest Numbers) {
	pushes.newest.Config = max(pushes.newest.Config, newest.Config)
	pushes.newest.Directory = max(pushes.newest.Directory, newest.Directory)
}

// Newest returns the newest numbers.
func (pushes *Pushes) Newest() Numbers {
	return pushes.newest
}

// Renewed records the numbers that a VM reports with its renewal. They are the
// VM's own word and replace what is known, since a VM may report zero to get whole
// lists. The answer carries what it misses, so no push follows until the next
// change; if the answer is lost, the next renewal has another.
func (pushes *Pushes) Renewed(now time.Time, member Member, has Numbers) {
	state, ok := pushes.vms[member]
	if !ok {
		state = &pushState{}
		pushes.vms[member] = state
	}
	state.heard = now
	if ok && !pushes.CatchesUp() {
		return
	}
	state.has = has
	if pushes.CatchesUp() {
		state.tried = pushes.newest
		state.attempts = pushAttempts
	}
}

// Acknowledged records the answer to a push.
func (pushes *Pushes) Acknowledged(member Member, has Numbers) {
	if state, ok := pushes.vms[member]; ok {
		state.has.Config = max(state.has.Config, has.Config)
		state.has.Directory = max(state.has.Directory, has.Directory)
	}
}

// Push is one push to send: the numbers that the VM has.
type Push struct {
	Member
	Has Numbers
}

// Due returns the pushes to send now, sorted by VM, and counts them as sent. A VM
// that has not renewed for the length of a lease gets none.
func (pushes *Pushes) Due(now time.Time) []Push {
	var due []Push
	for member, state := range pushes.vms {
		if pushes.CatchesUp() && now.Sub(state.heard) > forget {
			delete(pushes.vms, member)
			continue
		}
		if pushes.reaches(now, state) && state.due(now, pushes.newest) {
			due = append(due, Push{member, state.has})
		}
	}
	slices.SortFunc(due, func(a, b Push) int { return compareMembers(a.Member, b.Member) })
	return due
}

// reaches reports whether pushes go to the VM now. Without catch-up there is no
// later occasion, so silence doesn't stop them.
func (pushes *Pushes) reaches(now time.Time, state *pushState) bool {
	if pushes.techniques.NoPush {
		return false
	}
	return now.Sub(state.heard) <= Length || !pushes.CatchesUp()
}

func (state *pushState) due(now time.Time, newest Numbers) bool {
	if !state.has.behind(newest) {
		return false
	}
	if state.tried != newest {
		state.tried = newest
		state.attempts = 0
	}
	if state.attempts >= pushAttempts || state.attempts > 0 && now.Sub(state.last) < PushRetry<<(state.attempts-1) {
		return false
	}
	state.attempts++
	state.last = now
	return true
}
