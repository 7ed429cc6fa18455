package dispatch

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// groupMetrics holds the metrics of one group. The gauges have values of their own, so
// that reading the metrics, which holds lock 5, does not take the mutex of Owner, which
// is lock 2.
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

// newGroupMetrics returns the metrics of a group and registers them if they do not
// exist.
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

// metricName returns the full name of a group's metric, with its labels.
func metricName(name string, id core.GroupID) string {
	return fmt.Sprintf(`dandelionring_%s{zone=%q,kind=%q,group=%q}`, name, id.Zone, id.Kind, id.Name)
}

// gauges holds the values of all registered gauges. A group that is created again
// after its removal continues with the same gauges.
var gauges = gaugeValues{values: make(map[string]*atomic.Int64)}

// gauge returns the value of a group's gauge and registers the gauge if it does not
// exist.
func gauge(name string, id core.GroupID) *atomic.Int64 {
	key := metricName(name, id)
	value := gauges.get(key)
	metrics.GetOrCreateGauge(key, func() float64 { return float64(value.Load()) })
	return value
}

// observe updates the metrics of the group from its scheduler.
func (group *group) observe(now time.Time) {
	stats, before := group.scheduler.Stats(), group.reportedStats
	group.reportedStats = stats
	group.metrics.add(stats, before)
	summary := group.scheduler.Summary(now)
	group.metrics.waiting.Store(int64(summary.Waiting))
	group.metrics.inFlight.Store(int64(summary.InFlight))
	group.metrics.busy.Store(int64(summary.Busy))
	group.metrics.upstreams.Store(int64(summary.Upstreams))
}

// add adds the differences between two readings of the scheduler's counts.
func (group *groupMetrics) add(stats, before scheduler.Stats) {
	group.stalled.Add((stats.Stalled - before.Stalled).Seconds())
	group.loads.Add(int(stats.Loads - before.Loads))
	group.wasted.Add(int(stats.WastedLoads - before.WastedLoads))
	group.failed.Add(int(stats.FailedLoads - before.FailedLoads))
	group.evictions.Add(int(stats.Evictions - before.Evictions))
	group.sends.Add(int(stats.Sends - before.Sends))
	group.refusals.Add(int(stats.Refusals - before.Refusals))
}
