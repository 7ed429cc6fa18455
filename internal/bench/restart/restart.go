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

// The size that the system is designed for and its targets, from the design document.
const (
	planCount    = 2_000
	adapterCount = 15_000
	changeCount  = 10_000

	maxStartSeconds = 2
	maxMebibytes    = 128
)

const (
	vm                    core.VMID = "vm-1"
	startTimeout                    = time.Minute
	buildTimeout                    = 5 * time.Minute
	bytesPerMiB                     = 1 << 20
	adaptersPerPlan                 = adapterCount / planCount
	plansWithExtraAdapter           = adapterCount % planCount
)

// Run runs the benchmark, prints its figures to w and reports whether all of them are
// within their bounds. The start is measured twice: with as many log entries since the
// last snapshot as the default settings allow, and with a snapshot that holds all changes.
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
		{"log", 2 * changeCount},
		{"snapshot", changeCount},
	} {
		if err := measure(figures, commands, variant.name, variant.snapshotEntries); err != nil {
			return false, errors.Wrap(err, variant.name)
		}
	}
	return figures.Result()
}

// measure commits the commands, restarts the replica and adds the figures of the start.
// The replica writes a snapshot when its log has snapshotEntries entries.
func measure(figures *bench.Figures, commands []ledger.Command, name string, snapshotEntries int) error {
	folder, err := os.MkdirTemp("", "restart")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer os.RemoveAll(folder)
	network := bench.NewNetwork(host.Config{DiskVMs: []core.VMID{vm}, SnapshotEntries: snapshotEntries}, folder)
	if err := errors.Join(network.Start(vm), proposeAll(network, commands), network.Stop(vm)); err != nil {
		return err
	}
	heapBefore := liveHeapBytes()
	started := time.Now()
	if err := network.Start(vm); err != nil {
		return err
	}
	startDuration := time.Since(started)
	runningHost, _ := network.Host(vm)
	replica, _ := runningHost.Replica(0)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := waitFor(ctx, replica, func() bool { return hasAllChanges(replica) }); err != nil {
		return errors.Join(err, network.Stop(vm))
	}
	applyDuration := time.Since(started)
	figures.AtMost("start-from-"+name, startDuration.Seconds(), "s", maxStartSeconds)
	figures.AtMost("all-changes-in-force-from-"+name, applyDuration.Seconds(), "s", maxStartSeconds)
	figures.AtMost("control-state-from-"+name, float64(liveHeapBytes()-heapBefore)/bytesPerMiB, "MiB", maxMebibytes)
	figures.Report("files-of-"+name, float64(folderSize(folder))/bytesPerMiB, "MiB")
	return network.Stop(vm)
}

// liveHeapBytes returns the size of the heap after a garbage collection.
func liveHeapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// makeCommands returns the commands of the initial lists followed by changes of one grant
// each, in the form in which a leader commits them.
func makeCommands() ([]ledger.Command, error) {
	firstPlans, firstGrants := makeLists()
	commands := []ledger.Command{
		{PutList: &ledger.PutList{Kind: core.PlansList, Plans: &firstPlans, Operator: "bench"}},
		{PutList: &ledger.PutList{Kind: core.GrantsList, Replaces: 1, Grants: &firstGrants, Operator: "bench"}},
	}
	state := ledger.New(ledger.Limits{})
	for i, command := range commands {
		state.Apply(uint64(i+1), command)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for number := core.ConfigNumber(2); number < changeCount; number++ {
		change, err := changeGrant(firstGrants.Grants[random.IntN(planCount)], number)
		if err != nil {
			return nil, err
		}
		result := state.Apply(uint64(number)+1, ledger.Command{Change: change})
		change.Hash = result.PutList.Hash
		commands = append(commands, ledger.Command{Change: change})
	}
	return commands, nil
}

// changeGrant returns the change that replaces the versions of the first adapter of the
// grant with two new ones.
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

// proposeAll waits until the replica leads and proposes the commands in order. It returns
// an error if one of them is not accepted.
func proposeAll(network *bench.Network, commands []ledger.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	runningHost, _ := network.Host(vm)
	replica, _ := runningHost.Replica(0)
	if err := waitFor(ctx, replica, func() bool { _, leading := replica.IsLeader(); return leading }); err != nil {
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

// makeLists returns planCount plans with one key each, and their grants with adapterCount
// adapters in total.
func makeLists() (core.Plans, core.Grants) {
	var planList core.Plans
	var grantList core.Grants
	for i := range planCount {
		name := core.PlanID(fmt.Sprintf("plan-%04d", i))
		planList.Plans = append(planList.Plans, core.Plan{
			Plan: name, Customer: core.CustomerID(fmt.Sprintf("customer-%04d", i)),
			KeyHashes: []core.KeyHash{core.KeyHash(fmt.Sprintf("%064x", i))},
		})
		grant := core.Grant{Plan: name}
		count := adaptersPerPlan
		if i < plansWithExtraAdapter {
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

// waitFor checks the condition after each change of the replica until it holds. It returns
// the error of ctx if that ends first.
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

// hasAllChanges reports whether the replica has applied all changes.
func hasAllChanges(replica *host.Replica) bool {
	var number core.ConfigNumber
	replica.View(func(state *ledger.State) { number = state.Number() })
	return number == changeCount
}

// folderSize returns the total size of the files under folder in bytes; files that cannot
// be read are not counted.
func folderSize(folder string) int64 {
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
