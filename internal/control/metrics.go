package control

import "github.com/dandelionring/dandelionring/internal/telemetry"

var (
	orderCounts = telemetry.NewCounters("dandelionring_orders_total", "order", "outcome")
	placeCounts = telemetry.NewCounters("dandelionring_places_total", "result", "reason")
)
