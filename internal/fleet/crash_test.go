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

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
)

// judgingControlVMs accept reports on ended upstreams and send verdicts.
type judgingControlVMs struct {
	verdicts chan conviction.Verdict
	// restart ends one watch.
	restart chan struct{}

	lock    sync.Mutex // no other lock is acquired while it is held
	crashes map[core.VMID]int
	passes  map[core.VMID][]string
	// told holds the verdicts that the entry VM has reported.
	told map[core.VMID][]string
}

func (controls *judgingControlVMs) Call(_ context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	evidence := request.GetCrashEvidence()
	controls.lock.Lock()
	defer controls.lock.Unlock()
	controls.crashes[vm] += len(evidence.GetCrashes())
	for _, pass := range evidence.GetPasses() {
		controls.passes[vm] = append(controls.passes[vm], pass.GetTrait())
	}
	for _, verdict := range evidence.GetVerdicts() {
		controls.told[vm] = append(controls.told[vm], verdict.GetTrait())
	}
	return &wire.Response{}, nil
}

func (controls *judgingControlVMs) Stream(ctx context.Context, vm core.VMID, _ *wire.Request, receive func(*wire.Response) bool) error {
	receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: &wire.WatchEvent{}}})
	for {
		select {
		case <-controls.restart:
			return errors.New("the control VM has ended")
		case verdict := <-controls.verdicts:
			event := &wire.WatchEvent{Verdicts: []*wire.Verdict{peer.VerdictMessage(verdict)}}
			receive(&wire.Response{Body: &wire.Response_WatchEvent{WatchEvent: event}})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TestVerdicts guards against requests with convicted content that run on at an upstream
// until they crash it, against reports that reach only one control VM, and against an entry
// VM that keeps to itself that suspected content has passed.
func TestVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		controls := &judgingControlVMs{verdicts: make(chan conviction.Verdict), crashes: make(map[core.VMID]int), passes: make(map[core.VMID][]string), told: make(map[core.VMID][]string)}
		follower, stop := Follow(Options{VM: "entry", Zone: "z", Seeds: []core.VMID{"c1", "c2"}, Table: NewTable("z"), Calls: controls, Logger: log.New(io.Discard)})
		defer stop()
		sound := conviction.NewRequest("1", []core.PartID{"first", "last"})
		bad := conviction.NewRequest("2", []core.PartID{"first", "bad", "last"})
		follower.Passed(sound)
		follower.Crashed("u1", 1, 0, []conviction.Request{bad})

		cancelled := make(map[string]bool)
		_, ok := follower.Begin(bad, func() { cancelled["open"] = true })
		is.True(ok)
		answering, ok := follower.Begin(bad, func() { cancelled["answering"] = true })
		is.True(ok)
		answering()
		_, ok = follower.Begin(sound, func() { cancelled["sound"] = true })
		is.True(ok)

		controls.verdicts <- conviction.Verdict{Trait: "part:first", Status: conviction.Suspected, Left: time.Minute}
		controls.verdicts <- conviction.Verdict{Trait: "part:bad", Status: conviction.Convicted, Left: time.Minute}
		<-time.After(time.Second) // every report is sent by then
		synctest.Wait()
		is.Equal(cancelled, map[string]bool{"open": true})
		_, refused := follower.Refuse(bad)
		is.True(refused)
		_, ok = follower.Begin(bad, nil)
		is.True(!ok) // the verdict came after the check of Refuse
		_, refused = follower.Refuse(sound)
		is.True(!refused)
		controls.lock.Lock()
		defer controls.lock.Unlock()
		is.Equal(controls.crashes, map[core.VMID]int{"c1": 1, "c2": 1})
		is.Equal(controls.passes, map[core.VMID][]string{"c1": {"part:first"}, "c2": {"part:first"}})
	})
}

// TestVerdictsOutliveControlVMs guards against control VMs that have forgotten a conviction
// since all of them have restarted: entry VMs that start then would send its requests to
// engines again.
func TestVerdictsOutliveControlVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		controls := &judgingControlVMs{verdicts: make(chan conviction.Verdict), restart: make(chan struct{}), crashes: make(map[core.VMID]int), passes: make(map[core.VMID][]string), told: make(map[core.VMID][]string)}
		_, stop := Follow(Options{VM: "entry", Zone: "z", Seeds: []core.VMID{"c1"}, Table: NewTable("z"), Calls: controls, Logger: log.New(io.Discard)})
		defer stop()
		controls.verdicts <- conviction.Verdict{Trait: "part:bad", Status: conviction.Convicted, Left: time.Minute}
		controls.verdicts <- conviction.Verdict{Trait: "part:first", Status: conviction.Suspected, Left: time.Minute}
		synctest.Wait()
		controls.restart <- struct{}{}
		<-time.After(2 * watchRetryDelay)
		synctest.Wait()
		controls.lock.Lock()
		defer controls.lock.Unlock()
		is.Equal(controls.told, map[core.VMID][]string{"c1": {"part:bad"}})
	})
}
