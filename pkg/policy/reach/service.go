package reach

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// State is what a VM knows about its path to the upstreams of one service.
type State uint8

// The states.
const (
	// Open means that requests are sent to the upstreams. It is the state before any failure.
	Open State = iota
	// Suspect means that several upstreams have failed since the last answer, or all those of
	// another service. Requests are sent as in Open, and a probe decides.
	Suspect
	// Kept means that new connections fail, while open ones carry requests.
	Kept
	// Cut means that no upstream is reached.
	Cut
	// Returning means that an upstream was reached again. A limited number of requests is sent.
	Returning
)

var stateNames = [...]string{Open: "open", Suspect: "suspect", Kept: "kept", Cut: "cut", Returning: "returning"}

// String returns the name of the state.
func (state State) String() string { return stateNames[state] }

// FailureKind is the way in which an upstream was not reached.
type FailureKind uint8

// The kinds of failures.
const (
	// Refused means that a new connection was refused or reset, as by a machine whose process
	// has ended.
	Refused FailureKind = iota + 1
	// TimedOut means that a new connection was not established in time.
	TimedOut
	// Lost means that an established connection was closed or reset, or that the upstream's
	// machine did not acknowledge what was sent.
	Lost
)

// Failure is one failed use of an upstream.
type Failure struct {
	Upstream core.UpstreamID
	Kind     FailureKind
	// Began is the time at which the connection was opened or the request was sent.
	Began time.Duration
	// Known is the number of upstreams of the service that take requests.
	Known int
}

const (
	// conclusiveUpstreams is the number of upstreams that must fail without an answer between
	// them. Two may end at the same time.
	conclusiveUpstreams = 3
	// conclusiveFailures is the number of failures that are needed if there are fewer upstreams.
	conclusiveFailures = 3
	// minProbeDelay and maxProbeDelay bound the time between two probes. It doubles when an
	// upstream that was reached again fails within settleTime.
	minProbeDelay = 200 * time.Millisecond
	maxProbeDelay = 1600 * time.Millisecond
	settleTime    = 5 * time.Second
	// fullReturn is the number of requests in flight from which the return is complete. Each
	// answer doubles the number that is allowed, beginning with one.
	fullReturn = 32
	// returnFailures is the number of upstreams whose failure without an answer between them
	// ends the return. One may have ended meanwhile.
	returnFailures = 2
	// refusedProbes is the number of upstreams that must have failed when a probe is refused, for
	// the path to be lost.
	refusedProbes = 2
	// probeFailures is the number of failures, that of the probe included, that are needed when a
	// probe times out. One alone also times out if this process waits for a processor.
	probeFailures = 2
)

// failures counts the failures since the last evidence to the contrary, by upstream. The zero
// value has none.
type failures struct {
	upstreams map[core.UpstreamID]bool
	count     int
}

func (failures *failures) add(upstream core.UpstreamID) {
	if failures.upstreams == nil {
		failures.upstreams = make(map[core.UpstreamID]bool)
	}
	failures.upstreams[upstream] = true
	failures.count++
}

func (failures *failures) clear() {
	clear(failures.upstreams)
	failures.count = 0
}

// conclusive reports whether so many of the known upstreams have failed that it is not their
// fault.
func (failures *failures) conclusive(known int) bool {
	return failures.count >= conclusiveFailures && len(failures.upstreams) >= min(conclusiveUpstreams, max(1, known))
}

// Service is the path to the upstreams of one service. The zero value is Open. It is not safe
// for concurrent use.
type Service struct {
	state State
	// unreached holds the failures of any kind since the last answer, unopened those of new
	// connections since the last one that was opened, and timedOut those of the kind TimedOut
	// since an answer or an opened connection.
	unreached, unopened, timedOut failures
	// answeredAt and openedAt are the times of the last answer and the last opened connection.
	answeredAt, openedAt time.Duration
	// settledAt is the time from which the path counts as settled again.
	settledAt  time.Duration
	probeAt    time.Duration
	probeDelay time.Duration
	probes     int
	// allowed is the number of requests that may be in flight in Returning, and running the
	// number of those that are. Requests of an earlier return are not counted: they may hang.
	allowed, running int
	turn             Turn
}

// Turn is the return in which a request was counted, 0 if it was not.
type Turn int

// State returns the present state.
func (service *Service) State() State { return service.state }

// Failed notes a failure. One that began before the last evidence to the contrary shows nothing.
func (service *Service) Failed(now time.Duration, failure Failure) {
	if failure.Began < service.answeredAt || failure.Kind != Lost && failure.Began < service.openedAt {
		return
	}
	service.unreached.add(failure.Upstream)
	if failure.Kind != Lost {
		service.unopened.add(failure.Upstream)
	}
	if failure.Kind == TimedOut {
		service.timedOut.add(failure.Upstream)
	}
	switch {
	case service.state == Cut:
	case service.state == Returning:
		if len(service.unreached.upstreams) >= min(returnFailures, max(1, failure.Known)) {
			service.cut(now)
		}
	case service.state == Kept && service.unreached.conclusive(failure.Known):
		service.cut(now)
	case service.timedOut.conclusive(failure.Known) && service.unreached.conclusive(failure.Known):
		service.cut(now)
	case service.state == Kept:
	case service.unopened.conclusive(failure.Known) && service.answeredAt > 0 && !service.unreached.conclusive(failure.Known):
		service.state, service.probeAt = Kept, now
	case service.state == Open && service.unreached.conclusive(failure.Known):
		service.state, service.probeAt = Suspect, now
	}
}

// cut changes the state to Cut.
func (service *Service) cut(now time.Duration) {
	if now < service.settledAt {
		service.probeDelay = min(maxProbeDelay, 2*service.probeDelay)
	} else {
		service.probeDelay = minProbeDelay
	}
	service.state, service.probeAt, service.allowed = Cut, now+service.probeDelay, 0
}

// Doubt notes that this VM has lost the path to the upstreams of another service.
func (service *Service) Doubt(now time.Duration) {
	if service.state == Open {
		service.state, service.probeAt = Suspect, now
	}
}

// Opened notes that a connection to an upstream was opened.
func (service *Service) Opened(now time.Duration) {
	service.openedAt = now
	service.unopened.clear()
	service.timedOut.clear()
	switch service.state {
	case Suspect:
		service.unreached.clear()
		service.state = Open
	case Kept:
		service.state = Open
	case Cut:
		service.returns(now)
	}
}

// returns changes the state to Returning.
func (service *Service) returns(now time.Duration) {
	service.state, service.allowed, service.running = Returning, 1, 0
	service.turn++
	service.settledAt = now + settleTime
	service.unreached.clear()
}

// Answered notes that bytes of an upstream have arrived.
func (service *Service) Answered(now time.Duration) {
	service.answeredAt = now
	service.unreached.clear()
	service.timedOut.clear()
	switch service.state {
	case Suspect:
		service.state = Open
	case Cut:
		service.returns(now)
	case Returning:
		if service.allowed *= 2; service.allowed > fullReturn {
			service.state = Open
		}
	}
}

// Enter returns the state in which a request is sent. Returning becomes Open for as many
// requests as may be in flight, and Cut for the others. Leave must be called with the turn once
// the request has ended.
func (service *Service) Enter() (State, Turn) {
	switch {
	case service.state != Returning:
		return service.state, 0
	case service.running >= service.allowed:
		return Cut, 0
	default:
		service.running++
		return Open, service.turn
	}
}

// Leave notes the end of a request.
func (service *Service) Leave(turn Turn) {
	if turn > 0 && turn == service.turn {
		service.running--
	}
}

// Probing returns true while the path is to be probed, and the time until the next probe.
func (service *Service) Probing(now time.Duration) (time.Duration, bool) {
	switch service.state {
	case Suspect, Kept, Cut:
		return max(0, service.probeAt-now), true
	default:
		return 0, false
	}
}

// Probe returns the upstream to which the next probe opens a connection, empty if there is none.
// One that has not failed shows most.
func (service *Service) Probe(now time.Duration, known []core.UpstreamID) core.UpstreamID {
	service.probeAt = now + max(minProbeDelay, service.probeDelay)
	service.probes++
	if len(known) == 0 {
		return ""
	}
	fresh := slices.DeleteFunc(slices.Clone(known), func(id core.UpstreamID) bool { return service.unreached.upstreams[id] })
	if len(fresh) > 0 {
		known = fresh
	}
	return known[service.probes%len(known)]
}

// ProbeFailed notes that a probe has not reached its upstream. It confirms a suspicion if there
// was another failure. If it was refused, that must be one of another upstream: the process there
// may have ended, and a refusal leaves no time for an answer of another one.
func (service *Service) ProbeFailed(now time.Duration, failure Failure) {
	confirms := service.state == Suspect && failure.Began >= service.answeredAt
	service.Failed(now, failure)
	enough := service.unreached.count >= probeFailures
	if failure.Kind == Refused {
		enough = len(service.unreached.upstreams) >= min(refusedProbes, max(1, failure.Known))
	}
	if confirms && enough && service.state == Suspect {
		service.cut(now)
	}
}
