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

// owners stand for two owners of engines, of which one does not answer.
type owners struct {
	silent core.VMID

	lock    sync.Mutex // a leaf
	reports map[core.VMID]int
}

func (owners *owners) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if request.GetUsage() == nil {
		return nil, errors.New("not asked in this test")
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

func (owners *owners) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, _ func(*wire.Response) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestReportsBesideSilentOwner guards against an owner that unloads what is in use, because
// reports of use wait for the owner of another zone that is cut off.
func TestReportsBesideSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := &owners{silent: "far", reports: make(map[core.VMID]int)}
		table := NewTable("z")
		table.SetOwner("z", Owner{VM: "near", Token: 1})
		table.SetOwner("y", Owner{VM: "far", Token: 2})
		table.SetInstance(clock.Now(), core.Instance{Upstream: "u", Born: 1, Sequence: 1, Service: "s", Address: "a", Zone: "y", Slots: 4})
		_, reserved := table.Reserve(clock.Now(), "u", Query{Service: "s"})
		is.True(reserved)
		_, stop := Follow(Parts{VM: "entry", Zone: "z", Table: table, Calls: owners, Logger: log.New(io.Discard)})
		time.Sleep(10*usageInterval + usageInterval/2)
		owners.lock.Lock()
		is.Equal(owners.reports["near"], 10)
		is.True(owners.reports["far"] >= 1)
		is.True(owners.reports["far"] <= 2) // one at a time
		owners.lock.Unlock()
		stop()
	})
}
