package dispatch

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// groupMetrics are the figures of one group. The gauges are read without the owner's
// lock, since metrics are lock 5.
type groupMetrics struct {
	stalled   *metrics.FloatCounter
	loads     *metrics.Counter
	wasted    *metrics.Counter
	failed    *metrics.Counter
	evictions *metrics.Counter
	sends     *metrics.Counter
	refusals  *metrics.Counter
	waiting   *atomic.Int64
	inFlight  *atomic.Int64
	busy      *atomic.Int64
	upstreams *atomic.Int64
}

func newGroupMetrics(id core.GroupID) *groupMetrics {
	counter := func(name string) *metrics.Counter { return metrics.GetOrCreateCounter(metricName(name, id)) }
	group := &groupMetrics{
		stalled: metrics.GetOrCreateFloatCounter(metricName("load_stall_seconds_total", id)),
		loads:   counter("loads_total"), wasted: counter("loads_wasted_total"), failed: counter("loads_failed_total"),
		evictions: counter("evictions_total"), sends: counter("sends_total"), refusals: counter("refusals_total"),
		waiting: gauge("queue_length", id), inFlight: gauge("in_flight", id), busy: gauge("busy_batch_places", id),
		upstreams: gauge("upstreams", id),
	}
	inFlight, busy := group.inFlight, group.busy
	metrics.GetOrCreateGauge(metricName("batch_fill", id), func() float64 {
		return float64(inFlight.Load()) / float64(max(1, busy.Load()))
	})
	return group
}

func metricName(name string, id core.GroupID) string {
	return fmt.Sprintf(`dandelionring_%s{zone=%q,kind=%q,group=%q}`, name, id.Zone, id.Kind, id.Name)
}

// gauges holds the values of the gauges that exist, since a group that is taken over
// again uses the gauge of its former table.
var gauges = metricValues{values: make(map[string]*atomic.Int64)}

func gauge(name string, id core.GroupID) *atomic.Int64 {
	full := metricName(name, id)
	value := gauges.get(full)
	metrics.GetOrCreateGauge(full, func() float64 { return float64(value.Load()) })
	return value
}

// observe passes what the scheduler counted on to the metrics.
func (group *group) observe(now time.Time) {
	stats, before := group.scheduler.Stats(), group.counted
	group.counted = stats
	group.metrics.count(stats, before)
	summary := group.scheduler.Summary(now)
	group.metrics.waiting.Store(int64(summary.Waiting))
	group.metrics.inFlight.Store(int64(summary.InFlight))
	group.metrics.busy.Store(int64(summary.Busy))
	group.metrics.upstreams.Store(int64(summary.Upstreams))
}

func (group *groupMetrics) count(stats, before scheduler.Stats) {
	group.stalled.Add((stats.Stalled - before.Stalled).Seconds())
	group.loads.Add(int(stats.Loads - before.Loads))
	group.wasted.Add(int(stats.WastedLoads - before.WastedLoads))
	group.failed.Add(int(stats.FailedLoads - before.FailedLoads))
	group.evictions.Add(int(stats.Evictions - before.Evictions))
	group.sends.Add(int(stats.Sends - before.Sends))
	group.refusals.Add(int(stats.Refusals - before.Refusals))
}
