package config

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/dandelionring/dandelionring/internal/bench/policy"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/lease"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	nodes = 420
	// length covers ten changes and five cuts.
	length = 5 * time.Minute
	// slopeLength covers two changes and two cuts.
	slopeLength = 90 * time.Second
	seed        = 1
	// The bounds of the design page.
	maxDelaySeconds = 12
	maxBytes        = 3000
)

// way is one way to distribute changes.
type way struct {
	name       string
	techniques lease.Techniques
}

var ways = []way{
	{"push", lease.Techniques{NoCatchUp: true}},
	{"poll", lease.Techniques{NoPush: true}},
	{"push-and-catch-up", lease.Techniques{}},
}

// outcome is one run.
type outcome struct {
	summary
	// The figures of one node are means over all nodes, per second.
	messages float64
	bytes    float64
	busy     float64
	busiest  float64
	leader   node
	seconds  float64
	nodeHeap float64
}

// Run measures the distribution of configuration and prints one line a figure. It
// reports whether the way that the VMs use keeps its bounds.
func Run(w io.Writer) (ok bool, err error) {
	outcomes := make(map[string]outcome)
	for _, way := range ways {
		outcomes[way.name] = measure(nodes, length, way.techniques)
	}
	ok = true
	for _, figures := range [][]policy.Figure{compare(outcomes), slopes(), fullLists()} {
		pass, err := policy.PrintAll(w, figures)
		if err != nil {
			return false, fmt.Errorf("print figures: %w", err)
		}
		ok = ok && pass
	}
	return ok, nil
}

func measure(size int, length time.Duration, techniques lease.Techniques) outcome {
	fleet := newFleet(size, seed, techniques)
	fleet.changeAndCut()
	fleet.until(fleet.now.Add(warmUp - time.Second))
	fleet.reset()
	fleet.until(fleet.now.Add(length))
	seconds := length.Seconds()
	result := outcome{summary: fleet.watch.summary(), leader: fleet.leader, seconds: seconds}
	for _, one := range fleet.nodes {
		result.messages += float64(one.messages) / seconds / float64(size)
		result.bytes += float64(one.bytes) / seconds / float64(size)
		result.busiest = max(result.busiest, float64(one.bytes)/seconds)
		result.busy += one.spent.Seconds() / seconds / float64(size)
	}
	result.nodeHeap = fleet.heapOfNodes() / float64(size)
	return result
}

// reset forgets the counters of the start.
func (fleet *fleet) reset() {
	for _, one := range append(fleet.nodes, &fleet.leader) {
		one.bytes, one.messages, one.spent = 0, 0, 0
	}
}

// heapOfNodes returns the bytes that are freed with the nodes. The fleet is of no
// use afterwards.
func (fleet *fleet) heapOfNodes() float64 {
	fleet.watch, fleet.queue = nil, nil
	before := heapInUse()
	fleet.nodes, fleet.byName = nil, nil
	freed := before - heapInUse()
	runtime.KeepAlive(fleet)
	return freed
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the first one may leave what finalizers hold
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// compare puts the way that the VMs use beside the two others.
func compare(outcomes map[string]outcome) []policy.Figure {
	used, push, poll := outcomes["push-and-catch-up"], outcomes["push"], outcomes["poll"]
	beside := func(value func(outcome) float64) string {
		return fmt.Sprintf("push alone %.4g, polling alone %.4g", value(push), value(poll))
	}
	line := func(name, unit string, bound float64, atLeast bool, value func(outcome) float64) policy.Figure {
		return policy.Figure{Name: name, Value: value(used), Unit: unit, Bound: bound, AtLeast: atLeast, Beside: beside(value)}
	}
	info := func(name, unit string, value func(outcome) float64) policy.Figure {
		return figure(name, value(used), unit, beside(value))
	}
	return []policy.Figure{
		line("config-420-slowest-reachable", "s", maxDelaySeconds, false, func(one outcome) float64 { return one.slowest.Seconds() }),
		line("config-420-missing-at-reachable", "updates", 0, false, func(one outcome) float64 { return float64(one.missing) }),
		line("config-420-bytes", "B/s/node", maxBytes, false, func(one outcome) float64 { return one.bytes }),
		line("config-420-bytes-busiest-node", "B/s", maxBytes, false, func(one outcome) float64 { return one.busiest }),
		info("config-420-responsiveness", "median", func(one outcome) float64 { return one.responsiveness }),
		info("config-420-median", "s", func(one outcome) float64 { return one.median.Seconds() }),
		info("config-420-effectiveness", "share", func(one outcome) float64 { return one.effectiveness }),
		info("config-420-messages", "1/s/node", func(one outcome) float64 { return one.messages }),
		info("config-420-leader-messages", "1/s", func(one outcome) float64 { return float64(one.leader.messages) / one.seconds }),
	}
}

// slopes prints the cost of a node and of the leader at three sizes.
func slopes() []policy.Figure {
	var figures []policy.Figure
	for _, size := range []int{105, 210, 420} {
		one := measure(size, slopeLength, lease.Techniques{})
		name := func(what string) string { return fmt.Sprintf("config-%s-%d", what, size) }
		figures = append(
			figures,
			figure(name("node-messages"), one.messages, "1/s", ""),
			figure(name("node-bytes"), one.bytes, "B/s", ""),
			figure(name("node-cpu"), 100*one.busy, "%core", ""),
			figure(name("node-heap"), one.nodeHeap/1024, "KiB", fmt.Sprintf("%d plans of %d adapters", plans, adaptersPer)),
			figure(name("leader-messages"), float64(one.leader.messages)/one.seconds, "1/s", ""),
			figure(name("leader-bytes"), float64(one.leader.bytes)/one.seconds, "B/s", ""),
			figure(name("leader-cpu"), 100*one.leader.spent.Seconds()/one.seconds, "%core", ""),
		)
	}
	return figures
}

// The lists of the design size.
const (
	fullPlans    = 2000
	fullAdapters = 15_000
	// restarts is the number of VMs that start in a day and fetch whole lists.
	restarts = 170
	// maxHeapMiB and maxCPU bound the whole control state of a node.
	maxHeapMiB = 128
	maxCPU     = 2
)

// fullLists measures a node that holds the lists of the design size.
func fullLists() []policy.Figure {
	before := heapInUse()
	fleet := newFleet(1, seed, lease.Techniques{})
	fleet.put(ledger.PutList{Kind: core.PlansList, Plans: plansOf(fullPlans)})
	fleet.put(ledger.PutList{Kind: core.GrantsList, Grants: grants(fullPlans, fullAdapters/fullPlans+1, nil)})
	one := fleet.nodes[0]
	fleet.until(fleet.now.Add(time.Second))
	wholeBytes := one.bytes
	one.spent, one.bytes = 0, 0
	const changes = 5
	for i := range changes {
		fleet.put(ledger.PutList{Kind: core.GrantsList, Grants: grants(fullPlans, fullAdapters/fullPlans+1, map[int]int{i: 1})})
		fleet.until(fleet.now.Add(time.Second))
	}
	perChange := one.spent.Seconds() / changes
	heap := heapInUse() - before
	nodeHeap := fleet.heapOfNodes()
	return []policy.Figure{
		{Name: "config-full-lists-node-heap", Value: nodeHeap / (1 << 20), Unit: "MiB", Bound: maxHeapMiB},
		{Name: "config-full-lists-disk-vm-heap", Value: heap / (1 << 20), Unit: "MiB", Bound: maxHeapMiB, Beside: "with the state of shard 0"},
		{Name: "config-full-lists-cpu", Value: 100 * perChange / changeInterval.Seconds(), Unit: "%core", Bound: maxCPU, Beside: fmt.Sprintf("%.0f ms a change", 1000*perChange)},
		figure("config-full-lists-fetch", float64(wholeBytes)/1024, "KiB", fmt.Sprintf("%.0f B/s/node for %d restarts a day", float64(wholeBytes)*restarts/86400/nodes, restarts)),
	}
}
