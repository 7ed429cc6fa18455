package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// playedControl is a control VM of a play.
type playedControl struct {
	states, holds core.ConfigNumber
	fails         int
	silent        bool
	// later is stated after the time after, and the VM is gone after the time gone, if they are
	// above zero.
	later       core.ConfigNumber
	after, gone time.Duration
}

// playedControls answers for the control VMs of a play.
type playedControls struct {
	began time.Time
	lock  sync.Mutex // no other lock is acquired while it is held
	vms   map[core.VMID]*playedControl
	// fetches counts the fetches.
	fetches int
}

func (controls *playedControls) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if request.GetRoutesFetch() == nil {
		return nil, errors.New("unexpected request in this test")
	}
	// An answer takes 1 ms.
	if sleep(ctx, time.Millisecond); ctx.Err() != nil {
		return nil, ctx.Err()
	}
	controls.lock.Lock()
	defer controls.lock.Unlock()
	played := controls.vms[vm]
	controls.fetches++
	if played.silent || played.gone > 0 && time.Since(controls.began) >= played.gone {
		controls.lock.Unlock()
		<-ctx.Done()
		controls.lock.Lock()
		return nil, ctx.Err()
	}
	if played.fails > 0 {
		played.fails--
		return nil, errors.New("the fetch failed")
	}
	holds := played.holds
	if played.later > 0 && time.Since(controls.began) >= played.after {
		holds = played.later
	}
	table, err := json.Marshal(core.RouteTable{Number: holds})
	if err != nil {
		return nil, err
	}
	return &wire.Response{Body: &wire.Response_RoutesPage{RoutesPage: &wire.RoutesPage{Number: uint64(holds), Table: table}}}, nil
}

func (controls *playedControls) Stream(ctx context.Context, vm core.VMID, _ *wire.Request, receive func(*wire.Response) bool) error {
	state := func(number core.ConfigNumber) {
		receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: &wire.WatchEvent{RoutesNumber: uint64(number)}}})
		// Events about upstreams state no number.
		receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: &wire.WatchEvent{}}})
	}
	controls.lock.Lock()
	played := *controls.vms[vm]
	controls.lock.Unlock()
	if played.gone > 0 {
		var cancel func()
		ctx, cancel = context.WithDeadline(ctx, controls.began.Add(played.gone))
		defer cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	state(1)
	if played.states > 1 {
		// All VMs have number 1 before others are stated.
		if sleep(ctx, time.Until(controls.began.Add(settleTime))); ctx.Err() == nil {
			state(played.states)
		}
	}
	if played.later > 0 {
		if sleep(ctx, time.Until(controls.began.Add(settleTime+played.after))); ctx.Err() == nil {
			state(played.later)
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// settleTime is the time after which the numbers of a play are stated.
const settleTime = 2 * time.Second

// TestFetches guards against an entry VM that keeps asking a control VM which is behind, silent or
// gone, while another one has stated a newer route table.
func TestFetches(t *testing.T) {
	datadriven.RunTest(t, "testdata/fetches/script", func(t *testing.T, data *datadriven.TestData) string {
		controls := &playedControls{vms: make(map[core.VMID]*playedControl)}
		var seeds []core.VMID
		for line := range strings.Lines(data.Input) {
			vm, played := parseControl(t, line)
			controls.vms[vm] = played
			seeds = append(seeds, vm)
		}
		var result string
		synctest.Test(t, func(*testing.T) { result = playFetches(controls, seeds) })
		return result
	})
}

// parseControl parses a line of a name and properties.
func parseControl(t *testing.T, line string) (core.VMID, *playedControl) {
	fields := strings.Fields(line)
	played := &playedControl{}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		var number int
		if _, err := fmt.Sscanf(value, "%d", &number); err != nil && value != "" {
			t.Fatalf("%q: %v", field, err)
		}
		switch key {
		case "states":
			played.states = core.ConfigNumber(number)
			played.holds = max(played.holds, played.states)
		case "holds":
			played.holds = core.ConfigNumber(number)
		case "fails":
			played.fails = number
		case "silent":
			played.silent = true
		case "later":
			played.later = core.ConfigNumber(number)
		case "after":
			played.after = time.Duration(number) * time.Second
		case "gone":
			played.gone = settleTime + time.Duration(number)*time.Second
		default:
			t.Fatalf("unknown property %q", field)
		}
	}
	return core.VMID(fields[0]), played
}

// playFetches follows the control VMs for 5 s after the numbers were stated.
func playFetches(controls *playedControls, seeds []core.VMID) string {
	controls.began = time.Now()
	table := NewTable("z")
	table.SetRoutes(core.RouteTable{Number: 1})
	inForceAt := controls.began
	_, stop := Follow(Options{
		VM: "entry", Zone: "z", Seeds: seeds, Table: table, Calls: controls,
		Changed: func(core.RouteTable) {
			controls.lock.Lock()
			defer controls.lock.Unlock()
			inForceAt = time.Now()
		},
		Logger: log.New(io.Discard),
	})
	defer stop()
	sleep(context.Background(), settleTime+5*time.Second)
	controls.lock.Lock()
	defer controls.lock.Unlock()
	seconds := max(1, int(math.Ceil(inForceAt.Sub(controls.began.Add(settleTime)).Seconds())))
	verdict := "at most 60 fetches"
	if controls.fetches > 60 {
		verdict = "more than 60 fetches"
	}
	return fmt.Sprintf("in force %d within %d s; %s\n", table.RoutesNumber(), seconds, verdict)
}

// successiveControl states the next number each time that the one before came into force.
type successiveControl struct {
	inForce chan core.ConfigNumber
	last    core.ConfigNumber
}

func (control *successiveControl) Call(context.Context, core.VMID, *wire.Request) (*wire.Response, error) {
	control.last++
	table, err := json.Marshal(core.RouteTable{Number: control.last})
	if err != nil {
		return nil, err
	}
	return &wire.Response{Body: &wire.Response_RoutesPage{RoutesPage: &wire.RoutesPage{Number: uint64(control.last), Table: table}}}, nil
}

func (control *successiveControl) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, receive func(*wire.Response) bool) error {
	for number := core.ConfigNumber(1); ; {
		receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: &wire.WatchEvent{RoutesNumber: uint64(number)}}})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case number = <-control.inForce:
			number++
		}
		// The statement comes at all moments around the end of the fetch.
		for rounds := number % 4096; rounds > 0; rounds-- {
		}
	}
}

// TestStatementBesideEndOfFetch guards against a number that is stated between the last look of a
// fetch and its end, and that starts no fetch: it would take effect with the next number only.
func TestStatementBesideEndOfFetch(t *testing.T) {
	const numbers = 100_000
	synctest.Test(t, func(*testing.T) {
		control := &successiveControl{inForce: make(chan core.ConfigNumber, 1)}
		done := make(chan struct{})
		_, stop := Follow(Options{
			VM: "entry", Zone: "z", Seeds: []core.VMID{"c"}, Table: NewTable("z"), Calls: control, Logger: log.New(io.Discard),
			Changed: func(routes core.RouteTable) {
				if routes.Number == numbers {
					close(done)
					return
				}
				control.inForce <- routes.Number
			},
		})
		defer stop()
		limit := time.NewTimer(time.Minute) // virtual time, which passes only if nothing else happens
		defer limit.Stop()
		select {
		case <-done:
		case <-limit.C:
			t.Errorf("number %d was stated and is not in force after a minute", control.last+1)
		}
	})
}
