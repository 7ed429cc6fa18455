package fleet

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
)

// divergedControl sends a change that does not fit the table that it has sent before.
type divergedControl struct {
	lock sync.Mutex // no other lock is acquired while it is held
	// held are the numbers that the fetches have stated.
	held []uint64
}

// divergedTables are the table that is fetched first, and the next one.
var divergedTables = [2]core.RouteTable{
	{Number: 1, Routes: []core.Route{{Host: "a", Prefix: "/"}}},
	{Number: 2, Routes: []core.Route{{Host: "b", Prefix: "/"}, {Host: "c", Prefix: "/"}}},
}

func (control *divergedControl) Call(_ context.Context, _ core.VMID, request *wire.Request) (*wire.Response, error) {
	fetch := request.GetRoutesFetch()
	if fetch == nil {
		return nil, errors.New("unexpected request in this test")
	}
	control.lock.Lock()
	defer control.lock.Unlock()
	table := divergedTables[min(len(control.held), 1)]
	control.held = append(control.held, fetch.GetHeldNumber())
	data, err := json.Marshal(table)
	if err != nil {
		return nil, err
	}
	return &wire.Response{Body: &wire.Response_RoutesPage{RoutesPage: &wire.RoutesPage{Number: uint64(table.Number), Table: data}}}, nil
}

func (control *divergedControl) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, receive func(*wire.Response) bool) error {
	receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: &wire.WatchEvent{RoutesNumber: 1}}})
	sleep(ctx, time.Second)
	// The control VM holds another table 1.
	other := routediff.NewTable(core.RouteTable{Number: 1, Routes: []core.Route{{Host: "b", Prefix: "/"}}})
	_, change := other.Replace(divergedTables[1])
	message, err := peer.RouteChangeMessage(change)
	if err != nil {
		return err
	}
	receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: &wire.WatchEvent{RoutesNumber: 2, RouteChange: message}}})
	<-ctx.Done()
	return ctx.Err()
}

// TestMisfit guards against an entry VM that applies a change to another table than the one that it
// was computed for: it would serve routes that no configuration has.
func TestMisfit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control := &divergedControl{}
		table := NewTable("z")
		_, stop := Follow(Options{VM: "entry", Zone: "z", Seeds: []core.VMID{"c"}, Table: table, Calls: control, Changed: func(core.RouteTable) {}, Logger: log.New(io.Discard)})
		defer stop()
		sleep(t.Context(), 3*time.Second)
		is.Equal(*table.Routes().Table(), divergedTables[1])
		control.lock.Lock()
		defer control.lock.Unlock()
		is.Equal(control.held, []uint64{0, 0}) // the whole table is asked for
	})
}
