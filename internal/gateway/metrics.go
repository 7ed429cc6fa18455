package gateway

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
)

var (
	requestCounts = telemetry.NewCounterFamily("dandelionring_requests_total", "kind", "outcome")
	sendCounts    = telemetry.NewCounterFamily("dandelionring_sends_total", "kind", "result")
	// limitedSends counts the sends to upstreams that state a limit.
	limitedSends = telemetry.NewCounterFamily("dandelionring_limited_sends_total", "kind", "repeat")
	// continuedStreams counts the sends that continue a stream, within one answer or after a
	// caller has named its last event, by whether the software version is that of the events
	// before.
	continuedStreams = telemetry.NewCounterFamily("dandelionring_continued_streams_total", "source", "software")
	// roomWaits counts the requests whose wait for room at the upstreams has ended without a
	// refusal, by how, and roomRefusals those refused for want of room, by when.
	roomWaits    = telemetry.NewCounterFamily("dandelionring_room_waits_total", "kind", "result")
	roomRefusals = telemetry.NewCounterFamily("dandelionring_room_refusals_total", "kind", "when")
	// roomWaiting is the number of requests that wait for room.
	roomWaiting atomic.Int64
	_           = metrics.GetOrCreateGauge("dandelionring_room_waiting", func() float64 { return float64(roomWaiting.Load()) })
	// roomWaitSeconds holds, by the kind of the route, the time for which requests waited for room.
	roomWaitSeconds = newHistograms("dandelionring_room_wait_seconds")
	// answerSeconds holds, by the kind of the route, the time from the arrival of a request
	// until its response is forwarded: after the whole response was read, or at the first
	// event of a stream.
	answerSeconds = newHistograms("dandelionring_answer_seconds")
)

// newHistograms returns a histogram for each kind of route.
func newHistograms(name string) (histograms [core.Stream + 1]*metrics.Histogram) {
	for kind := range histograms {
		histograms[kind] = metrics.GetOrCreateHistogram(fmt.Sprintf("%s{kind=%q}", name, core.RouteKind(kind)))
	}
	return histograms
}

// kind returns the kind of the call's route, or zero if no route is known.
func (call *call) kind() core.RouteKind {
	if call.route == nil {
		return 0
	}
	return call.route.Kind
}
