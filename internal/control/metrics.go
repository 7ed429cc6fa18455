package control

import "github.com/dandelionring/dandelionring/internal/telemetry"

var (
	orderCounts = telemetry.NewCounterFamily("dandelionring_orders_total", "order", "outcome")
	placeCounts = telemetry.NewCounterFamily("dandelionring_places_total", "result", "reason")
)
