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
	// concurrentClaims is the number of claims in flight. At the 2,600 requests/s that
	// the system is designed for and a commit time of about 10 ms, 26 claims are in
	// flight on average and 64 in a burst.
	concurrentClaims = 64
	measureDuration  = 5 * time.Second
	// minClaimsPerSync is the target in the design document.
	minClaimsPerSync = 5
)

var replicaVMs = []core.VMID{"vm-1", "vm-2", "vm-3"}

// Run runs the benchmark, prints its figures to w and reports whether all of them are
// within their bounds.
func Run(w io.Writer) (ok bool, err error) {
	folder, err := os.MkdirTemp("", "claims")
	if err != nil {
		return false, errors.Wrap(err, "make folder")
	}
	defer os.RemoveAll(folder)
	network := bench.NewNetwork(host.Config{DiskVMs: replicaVMs}, folder)
	for _, vm := range replicaVMs {
		if err := network.Start(vm); err != nil {
			return false, err
		}
	}
	latencies, syncs, err := measure(network)
	for _, vm := range replicaVMs {
		err = errors.Join(err, network.Stop(vm))
	}
	if err != nil {
		return false, err
	}
	return report(w, latencies, syncs)
}

// measure claims distinct idempotency keys from concurrent callers for measureDuration.
// It returns the sorted latencies of the claims and the number of log syncs of each
// replica in that time.
func measure(network *bench.Network) ([]time.Duration, []uint64, error) {
	client := network.Client()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := claim(ctx, client, "first"); err != nil {
		return nil, nil, err
	}
	before := syncCounts(network)
	end := time.Now().Add(measureDuration)
	latenciesByCaller := make([][]time.Duration, concurrentClaims)
	group, ctx := errgroup.WithContext(ctx)
	for caller := range concurrentClaims {
		group.Go(func() error {
			for i := 0; time.Now().Before(end); i++ {
				latency, err := claim(ctx, client, fmt.Sprintf("%d-%d", caller, i))
				if err != nil {
					return err
				}
				latenciesByCaller[caller] = append(latenciesByCaller[caller], latency)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, nil, err
	}
	syncs := syncCounts(network)
	for i := range syncs {
		syncs[i] -= before[i]
	}
	latencies := slices.Concat(latenciesByCaller...)
	slices.Sort(latencies)
	return latencies, syncs, nil
}

// claim claims a new idempotency key and returns the latency. It returns an error if
// the claim is not granted.
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
		return 0, errors.Errorf("claim of key %s is not granted: state %d", key, result.State)
	}
	return time.Since(started), nil
}

// syncCounts returns the number of log syncs so far of each running replica of shard 1.
func syncCounts(network *bench.Network) []uint64 {
	var syncs []uint64
	for _, vm := range replicaVMs {
		if runningHost, ok := network.Host(vm); ok {
			if replica, ok := runningHost.Replica(1); ok {
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
	for _, replicaSyncs := range syncs {
		total += replicaSyncs
	}
	figures.AtLeast("claims-per-sync-of-a-replica", count/float64(slices.Max(syncs)), "claims", minClaimsPerSync)
	figures.Report("claims-per-sync-of-all-replicas", count/float64(total), "claims")
	figures.Report("claims-per-second", count/measureDuration.Seconds(), "1/s")
	figures.Report("claim-latency-p50", milliseconds(latencies[len(latencies)/2]), "ms")
	figures.Report("claim-latency-p99", milliseconds(latencies[len(latencies)*99/100]), "ms")
	return figures.Result()
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
