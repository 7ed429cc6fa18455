package telemetry

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// TestCounterFamily guards against increments that are lost or counted under other labels.
func TestCounterFamily(t *testing.T) {
	is := is.New(t)
	family := NewCounterFamily("test_requests_total", "kind", "outcome")
	family.Inc("stream", "answered")
	family.Inc("stream", "answered")
	family.Inc("stream", "refused")
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	is.True(strings.Contains(out.String(), `test_requests_total{kind="stream",outcome="answered"} 2`))
	is.True(strings.Contains(out.String(), `test_requests_total{kind="stream",outcome="refused"} 1`))
}

// TestServeWithoutAddress guards against a VM that fails because its metrics cannot be
// served.
func TestServeWithoutAddress(t *testing.T) {
	Serve("", (*http.Server).Serve, log.New(io.Discard))()
	Serve("192.0.2.1:1", (*http.Server).Serve, log.New(io.Discard))() // TEST-NET-1, assigned to no machine
}
