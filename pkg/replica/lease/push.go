package lease

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Retry policy of pushes. A push without an answer is repeated twice: after
// PushRetryDelay, and again after twice that time. After that, the next renewal reports
// the VM's numbers, and its answer delivers the missing changes.
const (
	PushRetryDelay = 250 * time.Millisecond
	pushAttempts   = 3
)

// VersionNumbers holds the numbers of the configuration and of the directory that a VM
// has. The directory consists of the owners of the groups and the suspected requests; see
// ledger.State.DirectoryNumber.
type VersionNumbers struct {
	Config    core.ConfigNumber
	Directory uint64
}

func (numbers VersionNumbers) behind(newest VersionNumbers) bool {
	return numbers.Config < newest.Config || numbers.Directory < newest.Directory
}

// DeliveryOptions selects how VMs receive changes. With the zero value, the leader pushes
// changes and the answers to renewals deliver missed ones. Other values exist for
// benchmarks that compare the two mechanisms.
type DeliveryOptions struct {
	NoPush    bool
	NoCatchUp bool
}

// PushTracker tracks which numbers each VM has, so that the leader can push changes. A
// late acknowledgment never lowers the numbers of a VM. A restarted VM is a different
// member.
type PushTracker struct {
	options DeliveryOptions
	newest  VersionNumbers
	vms     map[Member]*pushState
}

type pushState struct {
	reported VersionNumbers
	// attempted holds the newest numbers at the time of the last push.
	attempted   VersionNumbers
	attempts    int
	lastPush    time.Time
	lastRenewal time.Time
}

// NewPushTracker returns a PushTracker without VMs.
func NewPushTracker(options DeliveryOptions) *PushTracker {
	return &PushTracker{options: options, vms: make(map[Member]*pushState)}
}

// DeliversOnRenewal reports whether the answer to a renewal delivers the changes that the
// VM lacks.
func (tracker *PushTracker) DeliversOnRenewal() bool {
	return !tracker.options.NoCatchUp
}

// UpdateNewest raises the newest numbers. A number below the newest one is ignored.
func (tracker *PushTracker) UpdateNewest(newest VersionNumbers) {
	tracker.newest.Config = max(tracker.newest.Config, newest.Config)
	tracker.newest.Directory = max(tracker.newest.Directory, newest.Directory)
}

// Newest returns the newest numbers of the leader.
func (tracker *PushTracker) Newest() VersionNumbers {
	return tracker.newest
}

// RecordRenewal records the numbers that a VM reports with its renewal. They replace the
// recorded ones even if they are lower, because a VM reports zero to request complete
// lists. The answer to the renewal delivers the missing changes, so nothing is pushed
// until the next change; if that answer is lost, the answer to the next renewal delivers
// them. With DeliveryOptions.NoCatchUp, only the numbers of a member's first renewal are
// recorded.
func (tracker *PushTracker) RecordRenewal(now time.Time, member Member, has VersionNumbers) {
	state, ok := tracker.vms[member]
	if !ok {
		state = &pushState{}
		tracker.vms[member] = state
	}
	state.lastRenewal = now
	if ok && !tracker.DeliversOnRenewal() {
		return
	}
	state.reported = has
	if tracker.DeliversOnRenewal() {
		state.attempted = tracker.newest
		state.attempts = pushAttempts
	}
}

// RecordAcknowledgment records the numbers that a VM returned in its answer to a push.
func (tracker *PushTracker) RecordAcknowledgment(member Member, has VersionNumbers) {
	if state, ok := tracker.vms[member]; ok {
		state.reported.Config = max(state.reported.Config, has.Config)
		state.reported.Directory = max(state.reported.Directory, has.Directory)
	}
}

// Push is a push to send to a member. Has holds the numbers that the VM has.
type Push struct {
	Member
	Has VersionNumbers
}

// TakeDue returns the pushes to send now, sorted by VM, and records them as sent. It
// omits VMs that have not renewed within the length of a lease, unless
// DeliveryOptions.NoCatchUp is set. With DeliveryOptions.NoPush it returns none.
func (tracker *PushTracker) TakeDue(now time.Time) []Push {
	var due []Push
	for member, state := range tracker.vms {
		if tracker.DeliversOnRenewal() && now.Sub(state.lastRenewal) > sessionExpiry {
			delete(tracker.vms, member)
			continue
		}
		if tracker.reachable(now, state) && state.due(now, tracker.newest) {
			due = append(due, Push{member, state.reported})
		}
	}
	slices.SortFunc(due, func(a, b Push) int { return compareMembers(a.Member, b.Member) })
	return due
}

// reachable reports whether pushes are sent to the VM now. If the answers to renewals
// deliver nothing, pushes are sent also to VMs that do not renew, because nothing else
// would deliver the change later.
func (tracker *PushTracker) reachable(now time.Time, state *pushState) bool {
	if tracker.options.NoPush {
		return false
	}
	return now.Sub(state.lastRenewal) <= Length || !tracker.DeliversOnRenewal()
}

// due reports whether a push to the VM is due, and if so records it as sent.
func (state *pushState) due(now time.Time, newest VersionNumbers) bool {
	if !state.reported.behind(newest) {
		return false
	}
	if state.attempted != newest {
		state.attempted = newest
		state.attempts = 0
	}
	if state.attempts >= pushAttempts || state.attempts > 0 && now.Sub(state.lastPush) < PushRetryDelay<<(state.attempts-1) {
		return false
	}
	state.attempts++
	state.lastPush = now
	return true
}
