package control

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/pool"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
	"github.com/dandelionring/dandelionring/pkg/replica/raft"
)

// noTransport has no other replicas to send to.
type noTransport struct{}

func (noTransport) Send(core.VMID, []raft.Message) {}

// direct passes requests to a control VM in the same process.
type direct struct{ control *Control }

func (direct direct) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	var response *wire.Response
	direct.control.Handle(ctx, vm, request, func(answer *wire.Response) error {
		response = answer
		return nil
	})
	if failure := response.GetFailure(); failure != nil {
		return nil, errors.New(failure.GetMessage())
	}
	return response, nil
}

func (direct direct) Stream(ctx context.Context, vm core.VMID, request *wire.Request, receive func(*wire.Response) bool) error {
	direct.control.Handle(ctx, vm, request, func(answer *wire.Response) error {
		if !receive(answer) {
			return errors.New("the watch was ended")
		}
		return nil
	})
	return ctx.Err()
}

// startControl runs a control VM with its own replicas. The function that it returns stops it.
func startControl(t *testing.T, folder string) (*Control, func()) {
	t.Helper()
	return startControlWith(t, host.Config{Directory: folder})
}

// startControlWith is startControl with settings of the replicas.
func startControlWith(t *testing.T, config host.Config) (*Control, func()) {
	t.Helper()
	config.VM, config.DiskVMs, config.NoClaims = "c", []core.VMID{"c"}, true
	replicas, closeReplicas, err := host.New(config, noTransport{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	jobs, closeJobs := pool.New(1, 0)
	control := New(Options{
		VM: "c", Zone: "z", Zones: 1, Host: replicas, Commands: host.NewClient(config, replicas, nil), Jobs: jobs, Logger: log.New(io.Discard),
	}, NewPeers(Peer{VM: "c", Zone: "z"}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		control.Run(ctx)
	}()
	return control, func() {
		cancel()
		<-done
		closeJobs()
		if err := closeReplicas(); err != nil {
			t.Error(err)
		}
	}
}

// TestQuotaPath guards against a part of the path that is not connected: the assignment of the
// group, the watch, the grants, the recording of shares, and their restart from the disk. Without
// a limit no VM owns the group.
func TestQuotaPath(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	control, stop := startControl(t, folder)
	workspace := core.Workspace{Workspace: "w"}
	put := func(number core.ConfigNumber) {
		t.Helper()
		routes := core.RouteTable{Number: number, Routes: []core.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: core.Idempotent, Timeout: time.Second, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
		}}, Services: []core.ServiceSpec{{Service: "s"}}, Workspaces: []core.Workspace{workspace}}
		_, faults, err := control.PutRoutes(t.Context(), ledger.PutRoutes{Table: routes})
		if err != nil || len(faults) > 0 {
			t.Fatal(err, faults)
		}
	}
	await := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(15 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("not in 15 s: ", what)
			}
		}
	}
	owned := func() bool {
		replica, _ := control.options.Host.Replica(0)
		ok := false
		replica.View(func(state *ledger.State) { _, ok = state.Owner(core.QuotaGroup) })
		return ok
	}
	follow := func() (taken func() bool, close func()) {
		table := fleet.NewTable("z")
		follower, stopFollower := fleet.Follow(fleet.Options{
			VM: "entry", Zone: "z", Seeds: []core.VMID{"c"}, Table: table, Calls: direct{control}, Changed: func(core.RouteTable) {}, Logger: log.New(io.Discard),
		})
		return func() bool {
			_, ok := follower.Take(t.Context(), &workspace, 10)
			return ok
		}, stopFollower
	}
	await("a leader", func() bool {
		replica, _ := control.options.Host.Replica(0)
		_, leads := replica.IsLeader()
		return leads
	})
	put(1)
	time.Sleep(leaseTime + leaseMargin + 3*renewInterval) // a leader knows no leases of the one before
	is.True(!owned())
	workspace.Quota = core.Quota{Rate: 1000, Burst: 2000}
	put(2)
	taken, stopFollower := follow()
	await("tokens", taken)
	is.True(owned())
	replica, _ := control.options.Host.Replica(0)
	replica.View(func(state *ledger.State) {
		_, shares := state.QuotaShares()
		is.Equal(fmt.Sprint(shares), "map[entry:1000000]")
	})
	stopFollower()
	stop()

	// After a restart of all VMs the shares are still recorded.
	control, stop = startControl(t, folder)
	defer stop()
	taken, stopFollower = follow()
	defer stopFollower()
	start := time.Now()
	await("tokens after the restart", taken)
	t.Logf("tokens were granted %v after the restart", time.Since(start))
}
