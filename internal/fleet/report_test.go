package fleet

import (
	"context"
	"io"
	"sync"
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

// fakeOwners answers for two owners of engines, of which one does not answer.
type fakeOwners struct {
	silent core.VMID

	lock    sync.Mutex // no other lock is acquired while it is held
	reports map[core.VMID]int
}

func (owners *fakeOwners) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if request.GetUsage() == nil {
		return nil, errors.New("unexpected request in this test")
	}
	owners.lock.Lock()
	owners.reports[vm]++
	owners.lock.Unlock()
	if vm == owners.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wire.Response{Body: &wire.Response_UsageResult{UsageResult: &wire.UsageResult{}}}, nil
}

func (owners *fakeOwners) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, _ func(*wire.Response) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestSilentOwnerDoesNotDelayReports guards against an owner that unloads weights in use,
// because usage reports wait for the partitioned owner of another zone.
func TestSilentOwnerDoesNotDelayReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := &fakeOwners{silent: "far", reports: make(map[core.VMID]int)}
		table := NewTable("z")
		table.SetOwner("z", Owner{VM: "near", Token: 1})
		table.SetOwner("y", Owner{VM: "far", Token: 2})
		table.SetInstance(clock.Now(), core.Instance{Upstream: "u", Born: 1, Sequence: 1, Service: "s", Address: "a", Zone: "y", Slots: 4})
		table.SetInstance(clock.Now(), core.Instance{Upstream: "v", Born: 1, Sequence: 1, Service: "s", Address: "b", Zone: "z", Slots: 40})
		startRequest := func(upstream core.UpstreamID) {
			_, reserved := table.Reserve(clock.Now(), upstream, Query{Service: "s"})
			is.True(reserved)
		}
		startRequest("u")
		_, stop := Follow(Options{VM: "entry", Zone: "z", Table: table, Calls: owners, Logger: log.New(io.Discard)})
		time.Sleep(usageInterval / 2) // so that each change falls between two ticks
		for range 10 {
			startRequest("v")
			time.Sleep(usageInterval)
		}
		owners.lock.Lock()
		is.True(owners.reports["near"] >= 9) // one report for each change
		is.True(owners.reports["far"] >= 1)
		is.True(owners.reports["far"] <= 2) // one report at a time
		owners.lock.Unlock()
		stop()
	})
}

// TestUsageReportedOnlyOnChange guards against a report at every tick from every entry VM to
// every owner, whose number grows with the product of both.
func TestUsageReportedOnlyOnChange(t *testing.T) {
	is := is.New(t)
	table := NewTable("z")
	table.SetInstance(0, core.Instance{Upstream: "u", Born: 1, Sequence: 1, Service: "s", Address: "a", Zone: "y", Slots: 4})
	reportsAt := func(millis int) bool {
		return table.collectUsage(time.Duration(millis)*time.Millisecond, "entry", "y") != nil
	}
	selection, _ := table.Reserve(0, "u", Query{Service: "s"})
	is.True(reportsAt(1000))
	is.True(!reportsAt(1080)) // nothing has changed
	is.True(!reportsAt(1160))
	table.Finish(selection)
	is.True(reportsAt(1240)) // the owner may unload the weights that were in use
	_, _ = table.Reserve(0, "u", Query{Service: "s"})
	is.True(reportsAt(1320))
	is.True(!reportsAt(1400))
	is.True(reportsAt(1320 + int(maxUsageInterval.Milliseconds()))) // the owner would drop the last report
}
