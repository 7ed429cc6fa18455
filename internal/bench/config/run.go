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
	nodeCount = 420
	// runDuration covers five partitions and ten changes whose deadline ends within the
	// run.
	runDuration = 5 * time.Minute
	// scalingDuration covers three changes and two partitions.
	scalingDuration = 90 * time.Second
	seed            = 1
	// Bounds from the design document.
	maxDelaySeconds   = 12
	maxBytesPerSecond = 3000
)

// variant is a method of distributing changes.
type variant struct {
	name    string
	options lease.DeliveryOptions
}

var variants = []variant{
	{"push", lease.DeliveryOptions{NoCatchUp: true}},
	{"poll", lease.DeliveryOptions{NoPush: true}},
	{"push-and-catch-up", lease.DeliveryOptions{}},
}

// measurement holds the results of one run.
type measurement struct {
	updateSummary
	// messageRate and byteRate are the messages and bytes that a node sends and receives
	// per second, as means over all nodes. busyShare is the mean share of the run that the
	// code of a node takes. maxNodeByteRate is the highest byte rate of any node.
	messageRate     float64
	byteRate        float64
	busyShare       float64
	maxNodeByteRate float64
	leader          simulatedNode
	// seconds is the length of the run.
	seconds float64
	// nodeHeap is the mean heap of a node in bytes.
	nodeHeap float64
}

// Run measures the distribution of configuration and prints one line per figure to w. It
// reports whether the variant in use, push with catch-up, is within its bounds.
func Run(w io.Writer) (ok bool, err error) {
	measurements := make(map[string]measurement)
	for _, variant := range variants {
		measurements[variant.name] = measure(nodeCount, runDuration, variant.options)
	}
	ok = true
	for _, figures := range [][]policy.Figure{comparisonFigures(measurements), scalingFigures(), fullListFigures()} {
		pass, err := policy.PrintAll(w, figures)
		if err != nil {
			return false, fmt.Errorf("print figures: %w", err)
		}
		ok = ok && pass
	}
	return ok, nil
}

// measure simulates the workload on the given number of nodes for the given time after
// the warm-up.
func measure(size int, length time.Duration, options lease.DeliveryOptions) measurement {
	sim := newSimulation(size, seed, options)
	sim.scheduleWorkload()
	sim.runUntil(sim.now.Add(warmUp - time.Second))
	sim.resetCounters()
	sim.runUntil(sim.now.Add(length))
	seconds := length.Seconds()
	result := measurement{updateSummary: sim.recorder.summarize(), leader: sim.leader, seconds: seconds}
	for _, node := range sim.nodes {
		result.messageRate += float64(node.messages) / seconds / float64(size)
		result.byteRate += float64(node.bytes) / seconds / float64(size)
		result.maxNodeByteRate = max(result.maxNodeByteRate, float64(node.bytes)/seconds)
		result.busyShare += node.busyTime.Seconds() / seconds / float64(size)
	}
	result.nodeHeap = sim.measureNodeHeap() / float64(size)
	return result
}

// resetCounters clears the counters of the leader and of all nodes.
func (sim *simulation) resetCounters() {
	for _, node := range append(sim.nodes, &sim.leader) {
		node.bytes, node.messages, node.busyTime = 0, 0, 0
	}
}

// measureNodeHeap releases all nodes and returns the number of heap bytes that this
// freed. The simulation is unusable afterwards.
func (sim *simulation) measureNodeHeap() float64 {
	sim.recorder, sim.queue = nil, nil
	before := liveHeapBytes()
	sim.nodes, sim.nodesByVM = nil, nil
	freed := before - liveHeapBytes()
	runtime.KeepAlive(sim)
	return freed
}

// liveHeapBytes returns the number of heap bytes in use after garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // objects with finalizers need a second collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// comparisonFigures returns the figures of push with catch-up, with push alone and
// polling alone as baselines.
func comparisonFigures(measurements map[string]measurement) []policy.Figure {
	catchUp, push, poll := measurements["push-and-catch-up"], measurements["push"], measurements["poll"]
	baselines := func(value func(measurement) float64) string {
		return fmt.Sprintf("push alone %.4g, polling alone %.4g", value(push), value(poll))
	}
	bounded := func(name, unit string, bound float64, atLeast bool, value func(measurement) float64) policy.Figure {
		return policy.Figure{Name: name, Value: value(catchUp), Unit: unit, Bound: bound, AtLeast: atLeast, Beside: baselines(value)}
	}
	unbounded := func(name, unit string, value func(measurement) float64) policy.Figure {
		return figure(name, value(catchUp), unit, baselines(value))
	}
	return []policy.Figure{
		bounded("config-420-slowest-reachable", "s", maxDelaySeconds, false, func(result measurement) float64 { return result.slowest.Seconds() }),
		bounded("config-420-missing-at-reachable", "updates", 0, false, func(result measurement) float64 { return float64(result.missing) }),
		bounded("config-420-bytes", "B/s/node", maxBytesPerSecond, false, func(result measurement) float64 { return result.byteRate }),
		bounded("config-420-bytes-busiest-node", "B/s", maxBytesPerSecond, false, func(result measurement) float64 { return result.maxNodeByteRate }),
		unbounded("config-420-responsiveness", "median", func(result measurement) float64 { return result.responsiveness }),
		unbounded("config-420-median", "s", func(result measurement) float64 { return result.median.Seconds() }),
		unbounded("config-420-effectiveness", "share", func(result measurement) float64 { return result.effectiveness }),
		unbounded("config-420-messages", "1/s/node", func(result measurement) float64 { return result.messageRate }),
		unbounded("config-420-leader-messages", "1/s", func(result measurement) float64 { return float64(result.leader.messages) / result.seconds }),
	}
}

// scalingFigures returns the cost of a node and of the leader with 105, 210 and 420
// nodes.
func scalingFigures() []policy.Figure {
	var figures []policy.Figure
	for _, size := range []int{105, 210, 420} {
		result := measure(size, scalingDuration, lease.DeliveryOptions{})
		name := func(quantity string) string { return fmt.Sprintf("config-%s-%d", quantity, size) }
		figures = append(
			figures,
			figure(name("node-messages"), result.messageRate, "1/s", ""),
			figure(name("node-bytes"), result.byteRate, "B/s", ""),
			figure(name("node-cpu"), 100*result.busyShare, "%core", ""),
			figure(name("node-heap"), result.nodeHeap/1024, "KiB", fmt.Sprintf("%d plans of %d adapters", planCount, adaptersPerPlan)),
			figure(name("leader-messages"), float64(result.leader.messages)/result.seconds, "1/s", ""),
			figure(name("leader-bytes"), float64(result.leader.bytes)/result.seconds, "B/s", ""),
			figure(name("leader-cpu"), 100*result.leader.busyTime.Seconds()/result.seconds, "%core", ""),
		)
	}
	return figures
}

// The lists at the size that the system is designed for.
const (
	fullPlans    = 2000
	fullAdapters = 15_000
	// restartsPerDay is the number of VMs that start in a day and fetch complete lists.
	restartsPerDay = 170
	// maxHeapMiB and maxCPUPercent bound the heap and the processor use of the complete
	// control state of a node.
	maxHeapMiB    = 128
	maxCPUPercent = 2
)

// fullListFigures returns the cost of a node that holds lists at the size that the system
// is designed for.
func fullListFigures() []policy.Figure {
	heapBefore := liveHeapBytes()
	sim := newSimulation(1, seed, lease.DeliveryOptions{})
	sim.putList(ledger.PutList{Kind: core.PlansList, Plans: makePlans(fullPlans)})
	sim.putList(ledger.PutList{Kind: core.GrantsList, Grants: makeGrants(fullPlans, fullAdapters/fullPlans+1, nil)})
	node := sim.nodes[0]
	sim.runUntil(sim.now.Add(time.Second))
	fetchBytes := node.bytes
	node.busyTime, node.bytes = 0, 0
	const changes = 5
	for i := range changes {
		sim.putList(ledger.PutList{Kind: core.GrantsList, Grants: makeGrants(fullPlans, fullAdapters/fullPlans+1, map[int]int{i: 1})})
		sim.runUntil(sim.now.Add(time.Second))
	}
	secondsPerChange := node.busyTime.Seconds() / changes
	totalHeap := liveHeapBytes() - heapBefore
	nodeHeap := sim.measureNodeHeap()
	return []policy.Figure{
		{Name: "config-full-lists-node-heap", Value: nodeHeap / (1 << 20), Unit: "MiB", Bound: maxHeapMiB},
		{Name: "config-full-lists-disk-vm-heap", Value: totalHeap / (1 << 20), Unit: "MiB", Bound: maxHeapMiB, Beside: "with the state of shard 0"},
		{Name: "config-full-lists-cpu", Value: 100 * secondsPerChange / changeInterval.Seconds(), Unit: "%core", Bound: maxCPUPercent, Beside: fmt.Sprintf("%.0f ms a change", 1000*secondsPerChange)},
		figure("config-full-lists-fetch", float64(fetchBytes)/1024, "KiB", fmt.Sprintf("%.0f B/s/node for %d restarts a day", float64(fetchBytes)*restartsPerDay/86400/nodeCount, restartsPerDay)),
	}
}
