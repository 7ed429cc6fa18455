package control

import "github.com/dandelionring/dandelionring/internal/telemetry"

var (
	orderCounts = telemetry.NewCounterFamily("dandelionring_orders_total", "order", "outcome")
	// verdictCounts counts verdicts by their status and by whether this VM or another one
	// has reached them.
	verdictCounts = telemetry.NewCounterFamily("dandelionring_verdicts_total", "status", "source")
	placeCounts   = telemetry.NewCounterFamily("dandelionring_places_total", "result", "reason")
)
