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

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// fakeControlVMs answers for control VMs that report a route table and refuse the first
// fetches.
type fakeControlVMs struct {
	lock    sync.Mutex // no other lock is acquired while it is held
	refuse  int
	number  core.ConfigNumber
	asked   []core.VMID
	confirm []bool
	// unread holds the features of the table that the fetches did not state.
	unread []core.Feature
	table  core.RouteTable
}

func (controls *fakeControlVMs) Call(_ context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	fetch := request.GetRoutesFetch()
	if fetch == nil {
		return nil, errors.New("unexpected request in this test")
	}
	controls.lock.Lock()
	defer controls.lock.Unlock()
	controls.asked = append(controls.asked, vm)
	controls.confirm = append(controls.confirm, fetch.GetConfirm())
	if controls.refuse > 0 {
		controls.refuse--
		return nil, errors.New("no majority confirms the newest state")
	}
	controls.table.Number = controls.number
	controls.unread = append(controls.unread, controls.table.Unsupported(peer.FeaturesFromMessage(fetch.GetFeatures()))...)
	table, err := json.Marshal(controls.table)
	if err != nil {
		return nil, err
	}
	page := &wire.RoutesPage{Number: uint64(controls.number), Table: table}
	return &wire.Response{Body: &wire.Response_RoutesPage{RoutesPage: page}}, nil
}

func (controls *fakeControlVMs) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, receive func(*wire.Response) bool) error {
	event := &wire.WatchEvent{RoutesNumber: uint64(controls.number)}
	receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: event}})
	<-ctx.Done()
	return ctx.Err()
}

// TestFirstFetchIsRetried guards against an entry VM that never gets a route table because
// its first fetch coincided with an election: the control VMs report the number only once.
func TestFirstFetchIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rank := 0
		controls := &fakeControlVMs{refuse: 7, number: 32, table: core.RouteTable{
			Workspaces: []core.Workspace{{Workspace: "north", Keys: []core.KeyDigest{core.DigestKey("k1")}, Rank: &rank}},
		}}
		table := NewTable("z")
		inForce := make(chan struct{})
		_, stop := Follow(Options{
			VM: "entry", Zone: "z", Seeds: []core.VMID{"c1", "c2", "c3"}, Table: table, Calls: controls,
			Changed: func(core.RouteTable) { close(inForce) }, Logger: log.New(io.Discard),
		})
		defer stop()
		<-inForce // synctest reports a deadlock if the route table never takes effect
		is.Equal(table.RoutesNumber(), core.ConfigNumber(32))
		found, ok := table.Routes().Workspaces().Identify("k1")
		is.True(ok && found.Workspace == "north" && *found.Rank == 0)
		controls.lock.Lock()
		defer controls.lock.Unlock()
		is.True(len(controls.asked) >= 8)
		is.Equal(len(controls.unread), 0) // each fetch must state that this VM applies workspaces
		for _, confirmed := range controls.confirm[:8] {
			is.True(confirmed) // the first table must be confirmed by a majority
		}
	})
}
