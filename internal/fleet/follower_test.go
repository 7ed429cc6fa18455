package fleet

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// controls stand for control VMs that name a route table and refuse the first fetches.
type controls struct {
	lock    sync.Mutex // a leaf
	refuse  int
	number  core.ConfigNumber
	asked   []core.VMID
	confirm []bool
}

func (controls *controls) Call(_ context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	fetch := request.GetRoutesFetch()
	if fetch == nil {
		return nil, errors.New("not asked in this test")
	}
	controls.lock.Lock()
	defer controls.lock.Unlock()
	controls.asked = append(controls.asked, vm)
	controls.confirm = append(controls.confirm, fetch.GetConfirm())
	if controls.refuse > 0 {
		controls.refuse--
		return nil, errors.New("no majority confirms the newest state")
	}
	table, err := json.Marshal(core.RouteTable{Number: controls.number})
	if err != nil {
		return nil, err
	}
	page := &wire.RoutesPage{Number: uint64(controls.number), Table: table}
	return &wire.Response{Body: &wire.Response_RoutesPage{RoutesPage: page}}, nil
}

func (controls *controls) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, receive func(*wire.Response) bool) error {
	event := &wire.WatchEvent{RoutesNumber: uint64(controls.number)}
	receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: event}})
	<-ctx.Done()
	return ctx.Err()
}

// TestFirstFetchIsRepeated guards against an entry VM that never gets a route table
// because its first fetch met an election: the control VMs name the number only once.
func TestFirstFetchIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		controls := &controls{refuse: 7, number: 32}
		table := NewTable("z")
		inForce := make(chan struct{})
		_, stop := Follow(Parts{
			VM: "entry", Zone: "z", Seeds: []core.VMID{"c1", "c2", "c3"}, Table: table, Calls: controls,
			Changed: func(core.RouteTable) { close(inForce) }, Logger: log.New(io.Discard),
		})
		defer stop()
		<-inForce // synctest reports a deadlock if it never comes
		is.Equal(table.Number(), core.ConfigNumber(32))
		controls.lock.Lock()
		defer controls.lock.Unlock()
		is.True(len(controls.asked) >= 8)
		for _, confirmed := range controls.confirm[:8] {
			is.True(confirmed) // the first table needs a majority
		}
	})
}
