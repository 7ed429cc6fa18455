package control

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/dandelionring/dandelionring/internal/telemetry"
)

var (
	orderCounts = telemetry.NewCounterFamily("dandelionring_orders_total", "order", "outcome")
	// verdictCounts counts verdicts by their status and by whether this VM or another one
	// has reached them.
	verdictCounts = telemetry.NewCounterFamily("dandelionring_verdicts_total", "status", "source")
	// admissionCounts counts the turns at upstreams with a limit that were asked for, by
	// whether they were granted and whether there was a wait.
	admissionCounts = telemetry.NewCounterFamily("dandelionring_admissions_total", "admitted", "waited")
	// originCounts counts the questions about the origins of streams, by whether the origin
	// was found and whether the question waited for it.
	originCounts = telemetry.NewCounterFamily("dandelionring_origin_queries_total", "found", "waited")
	// paceCounts counts the changes of what is assumed of the pace of upstreams: start phases by
	// their cause, and speeds by the class that they have changed to.
	paceCounts = telemetry.NewCounterFamily("dandelionring_pace_changes_total", "change", "detail")
	// speedGauges and openGauges hold the speed of the upstreams of the owned zones relative to
	// the median, and the share of their slots that may be used regardless of other upstreams.
	speedGauges = telemetry.NewGaugeFamily("dandelionring_upstream_speed", "upstream", maxPaceGauges)
	openGauges  = telemetry.NewGaugeFamily("dandelionring_upstream_open", "upstream", maxPaceGauges)
	// quotaRequestCounts counts the requests for tokens of workspaces, by whether this VM grants
	// them and whether the sender was attached.
	quotaRequestCounts = telemetry.NewCounterFamily("dandelionring_quota_requests_total", "result", "sender")
	// pageCounts and pageBytes count the route tables that this VM has sent, by their form and by
	// whether they were encoded for it ("new") or before ("shared"), and their bytes. pageSeconds is
	// the time of their encoding.
	pageCounts  = telemetry.NewCounterFamily("dandelionring_routes_pages_total", "form", "encoding")
	pageBytes   = telemetry.NewCounterFamily("dandelionring_routes_pages_bytes_total", "form", "encoding")
	pageSeconds = metrics.GetOrCreateFloatCounter("dandelionring_routes_pages_encoding_seconds_total")
	placeCounts = telemetry.NewCounterFamily("dandelionring_places_total", "result", "reason")
)

// maxPaceGauges is the number of upstreams that have gauges of their own.
const maxPaceGauges = 256
