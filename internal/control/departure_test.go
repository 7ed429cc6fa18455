package control

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestDepartureScripts guards against the statement of an upstream that it leaves which a
// control VM acknowledges and drops, keeps to itself, or overrides with what it knew before.
// The scripts run in virtual time.
func TestDepartureScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/departure", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var out strings.Builder
			synctest.Test(t, func(t *testing.T) {
				group := newControlGroup("a", "b", "c")
				for line := range strings.Lines(data.Input) {
					fmt.Fprintln(&out, group.run(t.Context(), strings.Fields(line)))
					synctest.Wait() // for calls that go on after an answer
				}
				<-time.After(departureTimeout) // for calls that get no answer
			})
			return out.String()
		})
	})
}

// controlGroup is a group of control VMs that reach each other in memory.
type controlGroup struct {
	lock     sync.Mutex // a leaf lock: guards cut
	cut      map[core.VMID]bool
	controls map[core.VMID]*Control
	// entries holds the subscription of one entry VM at each control VM.
	entries map[core.VMID]*subscriber
}

// controlCaller sends the requests of one control VM.
type controlCaller struct {
	group *controlGroup
	vm    core.VMID
}

func newControlGroup(vms ...core.VMID) *controlGroup {
	group := &controlGroup{cut: make(map[core.VMID]bool), controls: make(map[core.VMID]*Control), entries: make(map[core.VMID]*subscriber)}
	for _, vm := range vms {
		peers := NewPeers(Peer{VM: vm})
		for _, other := range vms {
			peers.recordContact(clock.Now(), Peer{VM: other})
		}
		group.controls[vm] = New(Options{VM: vm, Calls: controlCaller{group, vm}, Logger: log.New(io.Discard)}, peers)
		group.entries[vm] = group.controls[vm].hub.add(&wire.Watch{Vm: "entry"}, true)
	}
	return group
}

func (group *controlGroup) isCut(vm core.VMID) bool {
	group.lock.Lock()
	defer group.lock.Unlock()
	return group.cut[vm]
}

// Call answers with the control VM. A call to or from a VM that is cut off gets no answer.
func (caller controlCaller) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if caller.group.isCut(vm) || caller.group.isCut(caller.vm) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return caller.group.controls[vm].answer(ctx, request)
}

func (controlCaller) Stream(context.Context, core.VMID, *wire.Request, func(*wire.Response) bool) error {
	return errors.New("no streams")
}

// run runs one command and returns its result.
func (group *controlGroup) run(ctx context.Context, words []string) string {
	arguments := make(map[string]string)
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		arguments[name] = value
	}
	vm := core.VMID(arguments["vm"])
	switch words[0] {
	case "announce":
		return result(group.controls[vm].Announce(ctx, instanceOf(arguments)))
	case "deregister":
		return result(group.controls[vm].Deregister(ctx, core.UpstreamID(arguments["id"])))
	case "cut", "heal":
		group.lock.Lock()
		defer group.lock.Unlock()
		group.cut[vm] = words[0] == "cut"
		return "done"
	case "watch": // the control VMs receive the upstreams that the others know
		group.watch()
		return "done"
	case "expire": // the announcements to a control VM end
		group.controls[vm].startDueOrders()
		return "done"
	case "published":
		return group.published(vm)
	case "shared":
		return fmt.Sprintf("%d departures", len(group.controls[vm].shared))
	default:
		return "unknown command"
	}
}

func result(err error) string {
	switch {
	case err == nil:
		return "acknowledged"
	case errors.Is(err, ErrUnknownUpstream):
		return "unknown"
	case errors.Is(err, ErrNotShared):
		return "not shared"
	default:
		return err.Error()
	}
}

func instanceOf(arguments map[string]string) core.Instance {
	number := func(name string) int64 {
		value, _ := strconv.ParseInt(arguments[name], 10, 64)
		return value
	}
	id := arguments["id"]
	_, leaving := arguments["leaving"]
	return core.Instance{
		Upstream: core.UpstreamID(id), Born: number("born"), Sequence: uint64(number("seq")), Service: "s", Software: "v1",
		Address: "10.0.0.1:" + id, Zone: "z", Slots: 1, Leaving: leaving,
	}
}

// watch passes the upstreams that each control VM knows to the others.
func (group *controlGroup) watch() {
	for from, sender := range group.controls {
		event := &wire.WatchEvent{}
		for _, instance := range sender.snapshot(false).instances {
			event.Instances = append(event.Instances, peer.InstanceMessage(instance))
		}
		for to, receiver := range group.controls {
			if from != to && !group.isCut(from) && !group.isCut(to) {
				receiver.applyWatchEvent(event)
			}
		}
	}
}

// published returns what a control VM has published to entry VMs since the last call.
func (group *controlGroup) published(vm core.VMID) string {
	pending := group.controls[vm].hub.takePending(group.entries[vm])
	var lines []string
	for _, instance := range pending.instances {
		line := fmt.Sprintf("%s born=%d", instance.Upstream, instance.Born)
		if instance.Leaving {
			line += " leaving"
		}
		if instance.Gone {
			line += " gone"
		}
		lines = append(lines, line)
	}
	if len(lines) == 0 {
		return "nothing"
	}
	slices.Sort(lines)
	return strings.Join(lines, ", ")
}
