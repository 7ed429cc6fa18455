package control

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// originHolders are control VMs that answer a fetch of origins. One without an entry does not answer.
type originHolders map[core.VMID]*wire.OriginRecords

func (holders originHolders) Call(_ context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if holders[vm] == nil || request.GetOriginFetch() == nil {
		return nil, errors.New("the link is closed")
	}
	return &wire.Response{Body: &wire.Response_OriginRecords{OriginRecords: holders[vm]}}, nil
}

func (originHolders) Stream(context.Context, core.VMID, *wire.Request, func(*wire.Response) bool) error {
	return errors.New("unexpected stream in this test")
}

// TestOriginFetches guards against a control VM that has joined, or has lost its disk, and counts to
// a majority though it may lack the record of a send to another version, and against one that never
// counts though the others hold all records.
func TestOriginFetches(t *testing.T) {
	datadriven.RunTest(t, "testdata/origin-fetches", func(t *testing.T, data *datadriven.TestData) string {
		holders := make(originHolders)
		view := origin.View{Number: 7}
		for line := range strings.Lines(data.Input) {
			fields := strings.Fields(line)
			vm := core.VMID(fields[0])
			view.VMs = append(view.VMs, vm)
			if slices.Contains(fields, "silent") || vm == "self" {
				continue
			}
			holders[vm] = &wire.OriginRecords{Complete: !slices.Contains(fields, "incomplete")}
			if slices.Contains(fields, "record") {
				holders[vm].Records = []*wire.OriginRecord{{Request: "r", Service: "s", Software: "v2", Send: 2}}
			}
			if slices.Contains(fields, "version") {
				holders[vm].Versions = []*wire.VersionRecord{{Service: "s", Software: "v2", AgeMillis: 1000}}
			}
		}
		control := New(Options{VM: "self", Zone: "z", Calls: holders, Logger: log.New(io.Discard)}, NewPeers(Peer{VM: "self", Zone: "z"}))
		control.beginHistory()
		control.origins.restored = true
		fetched := control.fetchOrigins(t.Context(), view)
		from, _, _ := control.origins.await(t.Context(), "r", 0)
		return fmt.Sprintf("fetched=%t complete=%t send=%d version=%q\n", fetched, control.hasAllOrigins(), from.Send, control.versions.Sole(clock.Now(), "s"))
	})
}

// TestOriginRecords guards against an answer to a control VM that has joined from one that does not
// know the group with the new VM: a record that it acknowledges afterwards would count for the group
// before.
func TestOriginRecords(t *testing.T) {
	is := is.New(t)
	control, stop := startControl(t, t.TempDir())
	defer stop()
	awaitLeader(t, control)
	control.origins.restore(t.TempDir(), log.New(io.Discard))
	control.lock.Lock()
	control.versions.CompleteFrom = clock.Now()
	control.versions.Note(clock.Now(), "s", "v1")
	control.lock.Unlock()
	control.origins.add(clock.Now(), startRecord("r", 2, "v2"))
	view := control.view()
	is.Equal(view.VMs, []core.VMID{"c"})
	answer := control.originRecords(&wire.OriginFetch{Number: view.Number})
	is.True(answer.GetComplete())
	is.Equal(len(answer.GetRecords()), 1)
	is.Equal(answer.GetRecords()[0].GetSend(), uint32(2))
	is.Equal(len(answer.GetVersions()), 1)
	is.True(!control.originRecords(&wire.OriginFetch{Number: view.Number + 1}).GetComplete())
	result := control.answerOriginQuery(t.Context(), &wire.OriginQuery{Service: "s", Request: "r"})
	is.True(result.GetComplete())
	is.Equal(result.GetGroup().GetNumber(), view.Number)
}
