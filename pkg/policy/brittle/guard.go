package brittle

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/throttle"
)

const (
	// countedTime is the time in which rejections count together, with a margin for requests
	// on their way.
	countedTime = 1100 * time.Millisecond
	// riskPart is the part of the rejections that all VMs may cause on purpose, by requests to
	// an upstream that may be full. The rest is for those that were sent while it had room.
	riskPart = 0.5
	// reservedPart is the part of the slots, as a divisor, that is left free for requests of
	// other VMs which the last report did not hold.
	reservedPart = 8
	// sharePart is the part of the free slots that the VMs share in one interval. Shares that are
	// rounded up add to more than is free now and then: with all slots, plays at one and two
	// rejections a second fell over 3 times and once, and with half of them once and never.
	sharePart = 0.5
	// reportInterval is the time after which the VMs hear of the requests of the others.
	reportInterval = 80 * time.Millisecond
	// maxRiskInterval bounds the time between two risks. An upstream that may reject none is
	// tried again then, since only a response shows that it is full no longer.
	maxRiskInterval = 5 * time.Minute
)

// Load is what a VM knows of the requests at an upstream.
type Load struct {
	// Own is the number of requests in flight from this VM, and Others that of the other VMs
	// as it was last reported. Stale is set if that was a while ago.
	Own, Others int
	Stale       bool
	// Unreported is the number of requests that this VM has sent since that report.
	Unreported int
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int
	// VMs is the number of entry VMs.
	VMs int
	// Limit is the number of rejections a second above which the upstream falls over.
	Limit core.RejectionsPerSecond
	// Phase, from 0 to 1, differs among the VMs and spreads what each may do now and then.
	Phase float64
}

// hasRoom reports whether a slot is free for another request, as far as is known. The queue
// of a brittle upstream may be shorter than any number that it has stated. When callers come
// all at once, every VM sees the same free slots: with half of them free, each of the other VMs
// is taken to have sent as many requests since the last report as this one. With fewer, each VM
// has a share of half of them, which is rounded up in as many intervals as the sum needs.
// Without a late report, this VM has its share of all usable slots, which is rounded up on some
// VMs only.
func (load Load) hasRoom(now time.Duration) bool {
	vms := max(1, load.VMs)
	if load.Stale {
		return load.Own < int(float64(load.usable())/float64(vms)+load.Phase)
	}
	if load.halfFree() {
		return load.Own+load.Others+load.Unreported*(vms-1) < load.usable()
	}
	free := load.usable() - load.Own - load.Others + load.Unreported
	_, rounding := math.Modf(load.Phase + math.Phi*float64(now/reportInterval))
	return load.Unreported < int(sharePart*float64(free)/float64(vms)+rounding)
}

// usable returns the number of slots that are filled without risk.
func (load Load) usable() int { return load.Slots - load.Slots/reservedPart }

// halfFree reports whether the last report shows that half of the slots are free.
func (load Load) halfFree() bool { return !load.Stale && 2*(load.Own+load.Others) <= load.usable() }

// riskInterval returns the time between two risks of this VM.
func (load Load) riskInterval() time.Duration {
	if load.Limit <= 0 {
		return maxRiskInterval
	}
	seconds := float64(max(1, load.VMs)) / (riskPart * float64(load.Limit))
	return time.Duration(math.Min(seconds, maxRiskInterval.Seconds()) * float64(time.Second))
}

// Guard decides when this VM may send a request to one brittle upstream. Requests for which it
// has no room as far as is known are risks, of which each VM takes its share of those that all
// may take. After a rejection every request is a risk until one was accepted, or until a report
// shows that half of the slots are free: with many VMs, the next risk of each is minutes away.
// The zero value is ready to use. Times are readings of a monotonic clock that continues while
// the machine is suspended. A Guard is not safe for concurrent use.
type Guard struct {
	risks throttle.Bucket
	// full is set from a rejection until the upstream has accepted a risk taken after it.
	full, risked bool
	// begun is set once the first risk has its time.
	begun bool
	// restUntil is the time until which no report ends full.
	restUntil time.Duration
}

// hasRoom reports whether a request is no risk.
func (guard *Guard) hasRoom(now time.Duration, load Load) bool {
	if guard.full && (now < guard.restUntil || !load.halfFree()) {
		return false
	}
	return load.hasRoom(now)
}

// Wait returns the time until a request may be sent, as far as is known, zero if it may be sent
// now. The next report may show room.
func (guard *Guard) Wait(now time.Duration, load Load) time.Duration {
	if guard.hasRoom(now, load) {
		return 0
	}
	if !guard.begun {
		guard.begun = true
		guard.risks.Delay(now + time.Duration(load.Phase*float64(load.riskInterval())))
	}
	left, _ := guard.risks.Reserve(now, load.riskInterval(), -1) // takes no turn
	if !guard.full {
		left = min(left, reportInterval-now%reportInterval)
	}
	return left
}

// Send notes that a request is sent, which Wait allowed.
func (guard *Guard) Send(now time.Duration, load Load) {
	if guard.hasRoom(now, load) {
		guard.full = false
		return
	}
	guard.risks.Reserve(now, load.riskInterval(), 0)
	guard.risked = true
}

// Accepted notes that the upstream has accepted a request.
func (guard *Guard) Accepted() {
	if guard.risked {
		guard.full = false
	}
}

// Rejected notes that the upstream has rejected a request.
func (guard *Guard) Rejected(now time.Duration, load Load) {
	guard.full, guard.risked, guard.begun = true, false, true
	guard.restUntil = now + countedTime + time.Duration(load.Phase*float64(countedTime))
	guard.risks.Delay(now + countedTime + time.Duration(load.Phase*float64(load.riskInterval())))
}
