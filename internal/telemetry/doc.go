// Package telemetry counts the decisions of entry and control VMs and serves the metrics
// in the Prometheus text format on a separate address.
package telemetry
