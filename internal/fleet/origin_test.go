package fleet

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// originReply is how a control VM answers a question about an origin, after a delay.
type originReply struct {
	delay  time.Duration
	failed bool
	found  bool
	origin origin.Origin
	// sole is the only version of the service that it knows.
	sole core.SoftwareVersion
}

// askedControlVMs answer questions about the origins of streams.
type askedControlVMs map[core.VMID]originReply

func (controls askedControlVMs) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if request.GetOriginQuery() == nil {
		return nil, errors.New("unexpected request in this test")
	}
	reply := controls[vm]
	select {
	case <-time.After(reply.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if reply.failed {
		return nil, errors.New("the link is closed")
	}
	result := &wire.OriginResult{Sole: string(reply.sole)}
	if reply.found {
		result = peer.OriginMessage(reply.origin)
	}
	return &wire.Response{Body: &wire.Response_OriginResult{OriginResult: result}}, nil
}

func (controls askedControlVMs) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, _ func(*wire.Response) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestOriginScripts guards against a stream that is continued at the version of an earlier send
// of its request, against a wait for control VMs that do not answer although one knows the
// origin, against an origin that only a slow control VM knows and that is not waited for, and against a
// version that is taken for the only one although a control VM knows of another, or too few know.
func TestOriginScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/origins", func(t *testing.T, data *datadriven.TestData) string {
		controls := make(askedControlVMs)
		var seeds []core.VMID
		for line := range strings.Lines(data.Input) {
			fields := strings.Fields(line)
			vm := core.VMID(fields[0])
			seeds = append(seeds, vm)
			controls[vm] = parseReply(fields[1:])
		}
		var result string
		synctest.Test(t, func(t *testing.T) {
			follower, stop := Follow(Options{VM: "e", Zone: "z", Seeds: seeds, Table: NewTable("z"), Calls: controls, Logger: log.New(io.Discard)})
			defer stop()
			started := time.Now()
			found, ok := follower.FindOrigin(t.Context(), "s", "r1", 400*time.Millisecond)
			result = fmt.Sprintf("found=%t %s after %s\n", ok, found.Software, time.Since(started))
		})
		return result
	})
}

func parseReply(fields []string) originReply {
	reply := originReply{origin: origin.Origin{Service: "s"}}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.Atoi(value)
		switch name {
		case "delay":
			reply.delay = time.Duration(number) * time.Millisecond
		case "sole":
			reply.sole = core.SoftwareVersion(value)
		case "failed":
			reply.failed = true
		case "software":
			reply.found, reply.origin.Software = true, core.SoftwareVersion(value)
		case "send":
			reply.origin.Send = number
		}
	}
	return reply
}

// TestOriginQueriesAreBounded guards against callers that name streams which never began and
// thereby take up the control VMs.
func TestOriginQueriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controls := askedControlVMs{"c1": {delay: time.Hour}}
		follower, stop := Follow(Options{VM: "e", Zone: "z", Seeds: []core.VMID{"c1"}, Table: NewTable("z"), Calls: controls, Logger: log.New(io.Discard)})
		defer stop()
		for range maxOriginQueries {
			go follower.FindOrigin(t.Context(), "s", "flood", time.Second)
		}
		synctest.Wait()
		started := time.Now()
		if _, ok := follower.FindOrigin(t.Context(), "s", "another", time.Second); ok || time.Since(started) > 0 {
			t.Errorf("a question over the bound waited for %v", time.Since(started))
		}
		<-time.After(2 * time.Second)
		if left := follower.originQueries.Load(); left != 0 {
			t.Errorf("%d questions are still counted", left)
		}
	})
}
