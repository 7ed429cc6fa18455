package telemetry

import (
	"bytes"
	"io"
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
	Serve("", log.New(io.Discard))()
	Serve("192.0.2.1:1", log.New(io.Discard))() // TEST-NET-1, assigned to no machine
}

// TestGaugeFamily guards against gauges of upstreams that are gone, and against one for each of
// ever new upstreams.
func TestGaugeFamily(t *testing.T) {
	is := is.New(t)
	family := NewGaugeFamily("test_speed", "upstream", 2)
	for i, upstream := range []string{"a", "b", "c"} {
		family.Set(upstream, float64(i+1))
	}
	family.Set("a", 4)
	family.Remove("b")
	family.Remove("none")
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	is.True(strings.Contains(out.String(), `test_speed{upstream="a"} 4`))
	is.True(!strings.Contains(out.String(), `test_speed{upstream="b"}`))
	is.True(!strings.Contains(out.String(), `test_speed{upstream="c"}`))
}
