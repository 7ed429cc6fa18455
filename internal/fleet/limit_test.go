package fleet

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// silentOwners do not answer.
type silentOwners struct{}

func (silentOwners) Call(ctx context.Context, _ core.VMID, _ *wire.Request) (*wire.Response, error) {
	<-ctx.Done()
	return nil, errors.Wrap(ctx.Err(), "no answer")
}

func (silentOwners) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, _ func(*wire.Response) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// limitedEngine returns a table with one upstream in zone z, whose owner is c.
func limitedEngine(vms int) *Table {
	table := NewTable("z")
	table.SetInstance(clock.Now(), core.Instance{Upstream: "u", Born: 1, Sequence: 1, Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 4})
	table.SetOwner("z", Owner{VM: "c", Token: 1})
	table.SetEntryVMs(vms)
	return table
}

// TestShareOfLimit guards against VMs that each send an upstream its whole limit while the
// owner of its zone cannot be reached, against shares that all come at the same moment, and
// against shares that round down to nothing.
func TestShareOfLimit(t *testing.T) {
	const (
		vms      = 194
		rate     = 8
		seconds  = 60
		interval = 20 * time.Millisecond
	)
	is := is.New(t)
	start := clock.Now()
	granted := make([]int, seconds)
	for i := range vms {
		table := limitedEngine(vms)
		table.setVM(core.VMID(fmt.Sprint("entry", i)))
		query := Query{Service: "s"}
		selected, ok := table.Select(start, query)
		is.True(ok)
		table.ObserveLimit(start, selected, core.RequestLimit{Stated: true, Rate: rate})
		for now := start; now < start+seconds*time.Second; now += interval {
			if _, ok := table.Select(now, query); !ok {
				is.Equal(len(table.HeldBack(now, query)), 1) // passed over for its limit alone
				continue
			}
			left, admitted := table.reserveShare(now, selected, 0)
			if admitted {
				granted[int((now-start).Seconds())]++
			} else {
				table.hold(selected, now+left)
			}
		}
	}
	total := 0
	for _, count := range granted {
		total += count
		is.True(count <= 3*rate) // no burst
	}
	is.True(total <= rate*seconds+vms)
	is.True(total >= rate*seconds/2)
}

// TestSilentOwner guards against requests that wait for an owner that does not answer each
// time, although the VM has a share of its own.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := limitedEngine(1)
		follower, stop := Follow(Options{VM: "entry", Zone: "z", Table: table, Calls: silentOwners{}, Logger: log.New(io.Discard)})
		defer stop()
		selected, ok := table.Select(clock.Now(), Query{Service: "s"})
		is.True(ok)
		table.ObserveLimit(clock.Now(), selected, core.RequestLimit{Stated: true, Rate: 1000})
		start := time.Now()
		for range 3 {
			_, admitted := follower.Admit(context.Background(), selected, time.Second)
			is.True(admitted)
		}
		is.True(time.Since(start) < 2*admitTimeout) // the owner was asked once
	})
}
