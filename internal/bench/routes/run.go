package routes

import (
	"context"
	"fmt"
	"io"
	"math"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/bench/policy"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	controlCount   = 3
	routeCount     = 5000
	changeCount    = 33 // 10 s
	changeInterval = 300 * time.Millisecond
	// Bounds from the targets of docs/design.md.
	maxDelaySeconds    = 0.5
	maxCutDelaySeconds = 1
	maxBytesShare      = 0.01
	maxCores           = 0.25
	// electionTime is the time after which the control VMs have a leader again.
	electionTime = 2 * time.Second
	// settleTime is the time after the last change for which the entry VMs are waited for.
	settleTime = 2 * time.Second
)

// entryCounts are the numbers of entry VMs of the largest deployments in service and of the design.
var entryCounts = []int{70, 194, 420}

// Run measures the distribution of route tables and prints one line per figure to w. It reports
// whether all figures are within their bounds.
func Run(w io.Writer) (ok bool, err error) {
	ok = true
	for _, count := range entryCounts {
		for _, measure := range []func(int) ([]policy.Figure, error){measureDelay, measureCut, measureCost} {
			figures, err := measure(count)
			if err != nil {
				return false, errors.Wrapf(err, "measure %d entry VMs", count)
			}
			pass, err := policy.PrintAll(w, figures)
			if err != nil {
				return false, err
			}
			ok = ok && pass
		}
	}
	return ok, nil
}

// change commits successive tables, one every changeInterval, each through another control VM that
// is not cut off. It returns the times of the acknowledgements.
func (group *controlGroup) change(first core.ConfigNumber, changes int) ([]appearance, error) {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	var acknowledged []appearance
	for i := range changes {
		put, err := makePut(first+core.ConfigNumber(i), routeCount)
		if err != nil {
			return nil, err
		}
		vm := group.vms[i%len(group.vms)]
		if group.network.reach(vm, vm) == nil {
			vm = group.vms[(i+1)%len(group.vms)]
		}
		if _, err := group.commit(vm, put); err != nil {
			return nil, err
		}
		acknowledged = append(acknowledged, appearance{put.Table.Number, time.Now()})
		<-ticker.C
	}
	return acknowledged, nil
}

// commit sends a table to a control VM until it is acknowledged, as operators do: on a busy machine
// the leader may change meanwhile. It returns whether the table was new when it was acknowledged.
func (group *controlGroup) commit(vm core.VMID, put ledger.PutRoutes) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		result, faults, err := group.network.reach(vm, vm).PutRoutes(ctx, put)
		if err == nil && len(faults) == 0 {
			return result.Changed, nil
		}
		if len(faults) > 0 || ctx.Err() != nil {
			return false, errors.Errorf("number %d was not acknowledged: %v %v", put.Table.Number, err, faults)
		}
	}
}

// begin commits the first table and waits until it is in force everywhere.
func (group *controlGroup) begin(followers []*follower) error {
	if _, err := group.change(1, 1); err != nil {
		return err
	}
	for _, follower := range followers {
		if !await(startTimeout, func() bool { return follower.table.RoutesNumber() == 1 }) {
			return errors.Errorf("the first table is not in force at %s", follower.vm)
		}
	}
	return nil
}

// slowest returns the longest delay in seconds, infinite if a number is not in force somewhere.
func slowest(followers []*follower, acknowledged []appearance) float64 {
	longest := 0.0
	for _, follower := range followers {
		for _, number := range acknowledged {
			delay, ok := follower.delay(number)
			if !ok {
				return math.Inf(1)
			}
			longest = max(longest, delay.Seconds())
		}
	}
	return longest
}

// measureDelay measures the delays and the bytes on a calm day.
func measureDelay(count int) ([]policy.Figure, error) {
	group, stop, err := startControls(controlCount)
	if err != nil {
		return nil, err
	}
	defer stop()
	followers, stopFollowers := group.follow(count)
	defer stopFollowers()
	if err := group.begin(followers); err != nil {
		return nil, err
	}
	put, err := makePut(2, routeCount)
	if err != nil {
		return nil, err
	}
	term := group.term()
	for _, follower := range followers {
		follower.bytes.Store(0)
	}
	group.network.failedFetches.Store(0)
	acknowledged, err := group.change(2, changeCount)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	most := int64(0)
	for _, follower := range followers {
		most = max(most, follower.bytes.Load())
	}
	name := func(quantity string) string { return fmt.Sprintf("routes-%d-%s", count, quantity) }
	return []policy.Figure{
		{Name: name("slowest-in-force"), Value: slowest(followers, acknowledged), Unit: "s", Bound: maxDelaySeconds, Beside: fmt.Sprintf("%d changes, %d routes", changeCount, routeCount)},
		{Name: name("bytes-of-a-change"), Value: float64(most) / changeCount / float64(len(put.Document)), Unit: "of the table", Bound: maxBytesShare, Beside: fmt.Sprintf("%d bytes, with all other events", most/changeCount)},
		{Name: name("failed-fetches"), Value: float64(group.network.failedFetches.Load()), Unit: "fetches", Bound: 0},
		{Name: name("elections"), Value: float64(group.term() - term), Unit: "terms", Bound: 0},
	}, nil
}

// measureCut measures the delays of changes after the leader was cut off.
func measureCut(count int) ([]policy.Figure, error) {
	group, stop, err := startControls(controlCount)
	if err != nil {
		return nil, err
	}
	defer stop()
	followers, stopFollowers := group.follow(count)
	defer stopFollowers()
	if err := group.begin(followers); err != nil {
		return nil, err
	}
	group.network.setCut(group.leader())
	time.Sleep(electionTime)
	if !await(startTimeout, func() bool { return group.leader() != "" }) {
		return nil, errors.New("no control VM leads after the cut")
	}
	acknowledged, err := group.change(2, changeCount/3)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return []policy.Figure{{
		Name: fmt.Sprintf("routes-%d-slowest-beside-a-cut-leader", count), Value: slowest(followers, acknowledged), Unit: "s", Bound: maxCutDelaySeconds,
	}}, nil
}

// measureCost measures the processor time of the control VMs while nobody applies the changes. The
// time for the documents of the operator is part of it.
func measureCost(count int) ([]policy.Figure, error) {
	group, stop, err := startControls(controlCount)
	if err != nil {
		return nil, err
	}
	defer stop()
	defer group.watch(count)()
	if err := group.begin(nil); err != nil {
		return nil, err
	}
	began, used := time.Now(), processorTime()
	if _, err := group.change(2, changeCount); err != nil {
		return nil, err
	}
	cores := (processorTime() - used).Seconds() / time.Since(began).Seconds() / controlCount
	return []policy.Figure{{Name: fmt.Sprintf("routes-%d-control-cores", count), Value: cores, Unit: "cores", Bound: maxCores, Beside: "mean of the control VMs, with the operator"}}, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
