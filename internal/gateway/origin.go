package gateway

import (
	"slices"
	"sync"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// originWaitDivisor limits the wait for the origin of a stream that began on another VM to the time
// that the caller waits, divided by it. A restart of the control VMs takes about a second.
const originWaitDivisor = 3

// The reasons why a stream that has begun is not continued.
const (
	noSoftware      = "no further upstream has the software version that began the stream"
	unknownSoftware = "the software version that began the stream is not known"
	unknownEvent    = "the last event of the stream has no ID after which it could be continued"
	otherService    = "the route does not lead to the service that began the stream any more"
)

// beginnings holds the origins of the streams that began on this VM. The zero value is empty.
type beginnings struct {
	// lock has position 3 in the lock order. It guards table.
	lock  sync.Mutex
	table origin.Table
}

// add stores the origin of a stream.
func (begun *beginnings) add(request core.RequestID, from origin.Origin) {
	begun.lock.Lock()
	defer begun.lock.Unlock()
	begun.table.Add(clock.Now(), request, from)
}

// find returns the origin of a stream, and false if it did not begin on this VM.
func (begun *beginnings) find(request core.RequestID) (origin.Origin, bool) {
	begun.lock.Lock()
	defer begun.lock.Unlock()
	return begun.table.Find(clock.Now(), request)
}

// continues reports whether the request continues a stream of which its caller has received
// events.
func (call *call) continues() bool {
	return call.route.Kind == core.Stream && call.request.LastEvent != ""
}

// adoptOrigin makes a request that continues a stream go to the service and the software
// version that began it. It returns the reason if that is not possible.
func (call *call) adoptOrigin() string {
	from, ok := call.findOrigin()
	if !ok || from.Software == "" {
		return unknownSoftware
	}
	allowed := func(target core.RouteTarget) bool { return target.Service == from.Service && target.Weight > 0 }
	if !slices.ContainsFunc(call.route.Targets, allowed) {
		return otherService
	}
	call.service, call.software = from.Service, from.Software
	return ""
}

// findOrigin returns the origin of the stream that the request continues, and false if it is
// not known.
func (call *call) findOrigin() (origin.Origin, bool) {
	request := call.request.Origin
	if from, ok := call.gateway.begun.find(request); ok {
		return from, true
	}
	finder := call.gateway.options.Origins
	if finder == nil {
		return origin.Origin{}, false
	}
	limit := call.route.Timeout
	if call.request.Patience > 0 {
		limit = min(limit, call.request.Patience)
	}
	return finder.FindOrigin(call.incoming.Context(), call.soleTarget(), request, limit/originWaitDivisor)
}

// soleTarget returns the service of the route, and an empty one if it has several: the request
// does not show which of them began the stream.
func (call *call) soleTarget() core.ServiceID {
	var sole core.ServiceID
	for _, target := range call.route.Targets {
		if target.Weight <= 0 {
			continue
		}
		if sole != "" {
			return ""
		}
		sole = target.Service
	}
	return sole
}

// origin returns the software that the upstream of the next send must have.
func (call *call) origin() origin.Requirement {
	return origin.Requirement{Continues: call.events > 0 || call.continues(), Software: call.software}
}

// cannotContinue returns the reason why no upstream can continue the stream after the events
// that its caller has received, and "" if one can, or if there are none.
func (call *call) cannotContinue() string {
	switch {
	case !call.origin().Possible():
		return unknownSoftware
	case call.lostPosition():
		return unknownEvent
	default:
		return ""
	}
}

// lostPosition reports whether no ID shows which events of this answer the caller has. Any upstream
// would send them once more.
func (call *call) lostPosition() bool { return call.events > 0 && call.position.ID() == "" }

// noteBeginning stores the origin of the stream at its first event, for the caller's next
// request.
func (attempt *attempt) noteBeginning() {
	call := attempt.call
	call.gateway.begun.add(call.request.ID, origin.Origin{Service: call.service, Software: attempt.selection.Software, Send: call.attemptNumber()})
}
