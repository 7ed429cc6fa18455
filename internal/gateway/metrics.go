package gateway

import (
	"fmt"

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
	// answerSeconds holds, by the kind of the route, the time from the arrival of a request
	// until its response is forwarded: after the whole response was read, or at the first
	// event of a stream.
	answerSeconds = func() (histograms [core.Stream + 1]*metrics.Histogram) {
		for kind := range histograms {
			name := fmt.Sprintf("dandelionring_answer_seconds{kind=%q}", core.RouteKind(kind))
			histograms[kind] = metrics.GetOrCreateHistogram(name)
		}
		return histograms
	}()
)

// kind returns the kind of the call's route, or zero if no route is known.
func (call *call) kind() core.RouteKind {
	if call.route == nil {
		return 0
	}
	return call.route.Kind
}
