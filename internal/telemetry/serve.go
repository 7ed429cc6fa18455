package telemetry

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

const readTimeout = 5 * time.Second

// Serve answers requests for the counts on an address and returns a function that stops
// it. An address that cannot be used costs the counts, not the VM; an empty one is no
// fault.
func Serve(address string, logger *log.Logger) func() {
	if address == "" {
		return func() {}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		logger.Warn("The metrics are not served.", "address", address, "error", err)
		return func() {}
	}
	server := &http.Server{ReadHeaderTimeout: readTimeout, Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(writer, true)
	})}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed { //nolint:errorlint // Serve returns it as it is
			logger.Warn("The metrics are no longer served.", "error", err)
		}
	}()
	return func() { server.Close() }
}

// Gauge registers a value that is read when the metrics are asked for. A second call with
// the same name keeps the first reader.
func Gauge(name string, read func() float64) {
	metrics.GetOrCreateGauge(name, read)
}
