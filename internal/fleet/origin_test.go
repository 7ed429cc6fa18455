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
	answer origin.Answer
	// after is the time after which it has the record of the answer, and for which it waits if
	// it is asked to.
	after time.Duration
	// back is the time from which it answers, backAfter the start of the test; before, its links fail.
	back      time.Time
	backAfter time.Duration
}

// askedControlVMs answer questions about the origins of streams.
type askedControlVMs map[core.VMID]originReply

func (controls askedControlVMs) Call(ctx context.Context, vm core.VMID, request *wire.Request) (*wire.Response, error) {
	if request.GetOriginQuery() == nil {
		return nil, errors.New("unexpected request in this test")
	}
	reply := controls[vm]
	delay, answer := reply.delay, reply.answer
	if wait := time.Duration(request.GetOriginQuery().GetWaitMillis()) * time.Millisecond; wait > 0 && reply.after < wait && answer.Found {
		delay += reply.after
	} else if reply.after > 0 || !answer.Found {
		delay += wait
		answer.Found, answer.Origin = false, origin.Origin{}
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if reply.failed || time.Now().Before(reply.back) {
		return nil, errors.New("the link is closed")
	}
	return &wire.Response{Body: &wire.Response_OriginResult{OriginResult: peer.OriginMessage(answer)}}, nil
}

func (controls askedControlVMs) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, _ func(*wire.Response) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestOriginScripts guards against a stream that is continued at the version of an earlier send
// of its request, as only a minority or VMs that have lost records know it; against a wait for
// control VMs that do not answer although a majority does; against a refusal while control VMs
// restart; against a majority of control VMs that do not make the group any more; against a record
// that is on its way and is not waited for; and against a version that is taken for the only one although a control VM
// knows of another, or too few know.
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
		wait := 400
		data.MaybeScanArgs(t, "wait", &wait)
		request := core.RequestID("r1")
		if data.HasArg("unnamed") {
			request = ""
		}
		var result string
		synctest.Test(t, func(t *testing.T) {
			for vm, reply := range controls {
				reply.back = time.Now().Add(reply.backAfter)
				controls[vm] = reply
			}
			follower, stop := Follow(Options{VM: "e", Zone: "z", Seeds: seeds, Table: NewTable("z"), Calls: controls, Logger: log.New(io.Discard)})
			defer stop()
			started := time.Now()
			found, ok := follower.FindOrigin(t.Context(), "s", request, time.Duration(wait)*time.Millisecond)
			result = fmt.Sprintf("found=%t %s after %s\n", ok, found.Software, time.Since(started))
		})
		return result
	})
}

func parseReply(fields []string) originReply {
	reply := originReply{answer: origin.Answer{Complete: true}}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.Atoi(value)
		switch name {
		case "delay":
			reply.delay = time.Duration(number) * time.Millisecond
		case "after":
			reply.after = time.Duration(number) * time.Millisecond
		case "back":
			reply.backAfter = time.Duration(number) * time.Millisecond
		case "group":
			number, vms, _ := strings.Cut(value, ":")
			reply.answer.View.Number, _ = strconv.ParseUint(number, 10, 64)
			for vm := range strings.SplitSeq(vms, ",") {
				reply.answer.View.VMs = append(reply.answer.View.VMs, core.VMID(vm))
			}
		case "sole":
			reply.answer.Sole = core.SoftwareVersion(value)
		case "failed":
			reply.failed = true
		case "incomplete":
			reply.answer.Complete = false
		case "software":
			reply.answer.Found, reply.answer.Origin.Service, reply.answer.Origin.Software = true, "s", core.SoftwareVersion(value)
		case "send":
			reply.answer.Origin.Send = number
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
