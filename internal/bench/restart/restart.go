package restart

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/bench"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// The design size and its targets, as the design page states them.
const (
	plans    = 2_000
	adapters = 15_000
	changes  = 10_000

	boundStartSeconds = 2
	boundMegabytes    = 128
)

const (
	vm             core.VMID = "vm-1"
	startTimeout             = time.Minute
	buildTimeout             = 5 * time.Minute
	bytesOfAMiB              = 1 << 20
	adaptersOfPlan           = adapters / plans
	extraAdapters            = adapters % plans
)

// Run prints the figures and returns whether all are within their bounds. The
// start is measured twice: with the log since the last snapshot as long as it can
// become, and with a snapshot that holds everything.
func Run(w io.Writer) (ok bool, err error) {
	figures := bench.NewFigures(w)
	commands, err := makeCommands()
	if err != nil {
		return false, err
	}
	for _, variant := range []struct {
		name            string
		snapshotEntries int
	}{
		{"log", 2 * changes},
		{"snapshot", changes},
	} {
		if err := measure(figures, commands, variant.name, variant.snapshotEntries); err != nil {
			return false, errors.Wrap(err, variant.name)
		}
	}
	return figures.Result()
}

func measure(figures *bench.Figures, commands []ledger.Command, name string, snapshotEntries int) error {
	folder, err := os.MkdirTemp("", "restart")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer os.RemoveAll(folder)
	network := bench.NewNetwork(host.Config{DiskVMs: []core.VMID{vm}, SnapshotEntries: snapshotEntries}, folder)
	if err := errors.Join(network.Start(vm), build(network, commands), network.Stop(vm)); err != nil {
		return err
	}
	empty := heap()
	started := time.Now()
	if err := network.Start(vm); err != nil {
		return err
	}
	loaded := time.Since(started)
	running, _ := network.Host(vm)
	replica, _ := running.Replica(0)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := waitFor(ctx, replica, func() bool { return isComplete(replica) }); err != nil {
		return errors.Join(err, network.Stop(vm))
	}
	inForce := time.Since(started)
	figures.AtMost("start-from-"+name, loaded.Seconds(), "s", boundStartSeconds)
	figures.AtMost("all-changes-in-force-from-"+name, inForce.Seconds(), "s", boundStartSeconds)
	figures.AtMost("control-state-from-"+name, float64(heap()-empty)/bytesOfAMiB, "MiB", boundMegabytes)
	figures.Report("files-of-"+name, float64(size(folder))/bytesOfAMiB, "MiB")
	return network.Stop(vm)
}

// heap returns the bytes of live objects.
func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// makeCommands returns the first lists and then changes of one grant at a time, in
// the form in which a leader commits them.
func makeCommands() ([]ledger.Command, error) {
	firstPlans, firstGrants := lists()
	commands := []ledger.Command{
		{PutList: &ledger.PutList{Kind: core.PlansList, Plans: &firstPlans, Operator: "bench"}},
		{PutList: &ledger.PutList{Kind: core.GrantsList, Replaces: 1, Grants: &firstGrants, Operator: "bench"}},
	}
	mirror := ledger.New(ledger.Limits{})
	for i, command := range commands {
		mirror.Apply(uint64(i+1), command)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for number := core.ConfigNumber(2); number < changes; number++ {
		change, err := changeGrant(firstGrants.Grants[random.IntN(plans)], number)
		if err != nil {
			return nil, err
		}
		result := mirror.Apply(uint64(number)+1, ledger.Command{Change: change})
		change.Hash = result.PutList.Hash
		commands = append(commands, ledger.Command{Change: change})
	}
	return commands, nil
}

// changeGrant gives the first adapter of a grant two new versions.
func changeGrant(grant core.Grant, number core.ConfigNumber) (*ledger.ListChange, error) {
	grant.Adapters = slices.Clone(grant.Adapters)
	grant.Adapters[0].Versions = []core.Version{core.Version(fmt.Sprint(number)), core.Version(fmt.Sprint(number + 1))}
	entry, err := json.Marshal(grant)
	if err != nil {
		return nil, errors.Wrap(err, "encode grant")
	}
	return &ledger.ListChange{
		Kind: core.GrantsList, Replaces: number, Entries: []json.RawMessage{entry},
		ContentHash: fmt.Sprintf("%064x", number), Operator: "bench",
	}, nil
}

// build commits the commands on a new replica.
func build(network *bench.Network, commands []ledger.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	running, _ := network.Host(vm)
	replica, _ := running.Replica(0)
	if err := waitFor(ctx, replica, func() bool { _, leads := replica.IsLeader(); return leads }); err != nil {
		return err
	}
	for number, command := range commands {
		result, err := replica.Propose(ctx, command)
		if err != nil || !result.PutList.Accepted {
			return errors.Errorf("change %d: %+v, error %v", number, result.PutList, err)
		}
	}
	return nil
}

func lists() (core.Plans, core.Grants) {
	var planList core.Plans
	var grantList core.Grants
	for i := range plans {
		name := core.PlanID(fmt.Sprintf("plan-%04d", i))
		planList.Plans = append(planList.Plans, core.Plan{
			Plan: name, Customer: core.CustomerID(fmt.Sprintf("customer-%04d", i)),
			KeyHashes: []core.KeyHash{core.KeyHash(fmt.Sprintf("%064x", i))},
		})
		grant := core.Grant{Plan: name}
		count := adaptersOfPlan
		if i < extraAdapters {
			count++
		}
		for j := range count {
			grant.Adapters = append(grant.Adapters, core.AdapterGrant{
				Adapter: core.AdapterID(fmt.Sprintf("adapter-%04d-%d", i, j)), Model: "base-model", Versions: []core.Version{"1", "2"},
			})
		}
		grantList.Grants = append(grantList.Grants, grant)
	}
	return planList, grantList
}

// waitFor waits for a condition that changes with the replica.
func waitFor(ctx context.Context, replica *host.Replica, condition func() bool) error {
	changed, cancel := replica.Subscribe()
	defer cancel()
	for !condition() {
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the replica")
		}
	}
	return nil
}

func isComplete(replica *host.Replica) bool {
	var number core.ConfigNumber
	replica.View(func(state *ledger.State) { number = state.Number() })
	return number == changes
}

func size(folder string) int64 {
	var total int64
	_ = filepath.WalkDir(folder, func(_ string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}
