package claims

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionring/dandelionring/internal/bench"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

const (
	// callers is the number of claims in flight: at the 2,600 requests/s of the
	// design size and a commit of about 10 ms, 26 on average and 64 in a burst.
	callers  = 64
	duration = 5 * time.Second
	// boundPerSync is the target of the design page.
	boundPerSync = 5
)

var vms = []core.VMID{"vm-1", "vm-2", "vm-3"}

// Run prints the figures and returns whether all are within their bounds.
func Run(w io.Writer) (ok bool, err error) {
	folder, err := os.MkdirTemp("", "claims")
	if err != nil {
		return false, errors.Wrap(err, "make folder")
	}
	defer os.RemoveAll(folder)
	network := bench.NewNetwork(host.Config{DiskVMs: vms}, folder)
	for _, vm := range vms {
		if err := network.Start(vm); err != nil {
			return false, err
		}
	}
	latencies, syncs, err := measure(network)
	for _, vm := range vms {
		err = errors.Join(err, network.Stop(vm))
	}
	if err != nil {
		return false, err
	}
	return report(w, latencies, syncs)
}

// measure claims keys for a while. It returns the time of each claim, sorted, and
// the syncs of each replica.
func measure(network *bench.Network) ([]time.Duration, []uint64, error) {
	client := network.Client()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := claim(ctx, client, "first"); err != nil {
		return nil, nil, err
	}
	before := countSyncs(network)
	end := time.Now().Add(duration)
	each := make([][]time.Duration, callers)
	group, ctx := errgroup.WithContext(ctx)
	for caller := range callers {
		group.Go(func() error {
			for i := 0; time.Now().Before(end); i++ {
				taken, err := claim(ctx, client, fmt.Sprintf("%d-%d", caller, i))
				if err != nil {
					return err
				}
				each[caller] = append(each[caller], taken)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, nil, err
	}
	syncs := countSyncs(network)
	for i := range syncs {
		syncs[i] -= before[i]
	}
	latencies := slices.Concat(each...)
	slices.Sort(latencies)
	return latencies, syncs, nil
}

func claim(ctx context.Context, client *host.Client, key string) (time.Duration, error) {
	started := time.Now()
	result, err := client.Claim(ctx, ledger.Claim{
		Customer: "customer", Key: core.IdempotencyKey(key), Content: "content", Attempt: core.AttemptID(key),
		Holder: "client", HolderIncarnation: "1", HoldMillis: time.Minute.Milliseconds(),
	})
	if err != nil {
		return 0, err
	}
	if result.State != ledger.ClaimGranted {
		return 0, errors.Errorf("key %s is in state %d", key, result.State)
	}
	return time.Since(started), nil
}

func countSyncs(network *bench.Network) []uint64 {
	var syncs []uint64
	for _, vm := range vms {
		if host, ok := network.Host(vm); ok {
			if replica, ok := host.Replica(1); ok {
				syncs = append(syncs, replica.Syncs())
			}
		}
	}
	return syncs
}

func report(w io.Writer, latencies []time.Duration, syncs []uint64) (bool, error) {
	figures := bench.NewFigures(w)
	count := float64(len(latencies))
	var total uint64
	for _, number := range syncs {
		total += number
	}
	figures.AtLeast("claims-per-sync-of-a-replica", count/float64(slices.Max(syncs)), "claims", boundPerSync)
	figures.Report("claims-per-sync-of-all-replicas", count/float64(total), "claims")
	figures.Report("claims-per-second", count/duration.Seconds(), "1/s")
	figures.Report("claim-latency-p50", milliseconds(latencies[len(latencies)/2]), "ms")
	figures.Report("claim-latency-p99", milliseconds(latencies[len(latencies)*99/100]), "ms")
	return figures.Result()
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
