package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// reportedAnswers is an owner that adds up the answers that are reported to it.
type reportedAnswers struct {
	lock sync.Mutex // no other lock is acquired while it is held
	sum  wire.AnswerTimes
	// idle is closed once a report has no requests in flight and all have been reported.
	idle  chan struct{}
	ended bool
	wants uint32
}

func (owner *reportedAnswers) Call(_ context.Context, _ core.VMID, request *wire.Request) (*wire.Response, error) {
	owner.lock.Lock()
	defer owner.lock.Unlock()
	running := uint32(0)
	for _, use := range request.GetUsage().GetUpstreams() {
		running += use.GetRunning()
		answers := use.GetAnswers()
		owner.sum.Count += answers.GetCount()
		owner.sum.TotalMicros += answers.GetTotalMicros()
		owner.sum.Untimed += answers.GetUntimed()
		owner.sum.Pauses += answers.GetPauses()
		owner.sum.PauseMicros += answers.GetPauseMicros()
		owner.sum.Rejections += answers.GetRejections()
		owner.sum.Failures += answers.GetFailures()
	}
	if seen := owner.sum.Count + owner.sum.Untimed + owner.sum.Rejections + owner.sum.Failures; running == 0 && seen >= owner.wants && !owner.ended {
		owner.ended = true
		close(owner.idle)
	}
	return &wire.Response{Body: &wire.Response_UsageResult{UsageResult: &wire.UsageResult{}}}, nil
}

func (owner *reportedAnswers) Stream(ctx context.Context, _ core.VMID, _ *wire.Request, _ func(*wire.Response) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestPaceReports guards against answers of which the owner learns nothing, against rejections that
// count as failures, and against events of one read that count as if there were pauses between them.
func TestPaceReports(t *testing.T) {
	datadriven.Walk(t, "testdata/pace", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			upstreams := &scriptedUpstreams{}
			for part := range strings.SplitSeq(data.Input+"\n", "--\n") {
				upstreams.answers = append(upstreams.answers, strings.ReplaceAll(strings.TrimSuffix(part, "\n"), `\n`, "\n"))
			}
			kind := map[string]core.RouteKind{"call": core.Idempotent, "stream": core.Stream}[data.Cmd]
			table := upstreams.start(t, 2)
			table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
				Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Timeout: 2 * pauseTime, MaxAttempts: 2, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
			}}, Services: []core.ServiceSpec{{Service: "s"}}})
			table.SetOwner("z", fleet.Owner{VM: "owner", Token: 1})
			owner := &reportedAnswers{idle: make(chan struct{}), wants: uint32(len(upstreams.answers))}
			_, stop := fleet.Follow(fleet.Options{VM: "entry", Zone: "z", Table: table, Calls: owner, Logger: log.New(io.Discard)})
			defer stop()
			gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Repeats: retry.Limits{Ratio: 10, Window: 10 * time.Second}, Logger: log.New(io.Discard)})
			defer closeGateway()
			server := httptest.NewServer(gateway)
			defer server.Close()
			text := sendRequest(server, "r1", nil)
			select {
			case <-owner.idle:
			case <-time.After(5 * time.Second):
				text += "the reports lack answers\n"
			}
			owner.lock.Lock()
			defer owner.lock.Unlock()
			sum := &owner.sum
			return text + fmt.Sprintf("count=%d untimed=%d pauses=%d of 2s=%t rejections=%d failures=%d timed=%t\n", sum.GetCount(), sum.GetUntimed(),
				sum.GetPauses(), isPauseTime(time.Duration(sum.GetPauseMicros())*time.Microsecond), sum.GetRejections(), sum.GetFailures(), sum.GetTotalMicros() > 0)
		})
	})
}

// isPauseTime reports whether a measured pause is that of the upstream. It begins when the gateway
// reads the event before it, which may be some time after the upstream has written that.
func isPauseTime(measured time.Duration) bool {
	return measured.Round(time.Second) == pauseTime
}

// TestSlowReader guards against pauses of a caller that count as those of the upstream.
func TestSlowReader(t *testing.T) {
	for forwarded, want := range map[time.Duration]int{time.Millisecond: 3, slowReadTime: 0} {
		var pauses pauseTimes
		pauses.add(time.Second, 2)
		pauses.forwarded(time.Second, time.Second+forwarded)
		pauses.add(2*time.Second, 3)
		if answers := pauses.answers(); answers.Pauses != want {
			t.Fatalf("forwarded in %v: %d pauses, want %d", forwarded, answers.Pauses, want)
		}
	}
}

// TestOverdue guards against an upstream that never answers and of which nothing is learned, and
// against one that looks fast because callers set short deadlines.
func TestOverdue(t *testing.T) {
	for usual, want := range map[time.Duration]uint32{0: 0, time.Minute: 0, time.Millisecond: 1} {
		table := fleet.NewTable("z")
		table.SetInstance(clock.Now(), core.Instance{Upstream: "u", Born: 1, Sequence: 1, Service: "s", Address: "a", Zone: "z", Slots: 4})
		table.SetOwner("z", fleet.Owner{VM: "owner", Token: 1})
		owner := &reportedAnswers{idle: make(chan struct{})}
		selected, ok := table.Reserve(clock.Now(), "u", fleet.Query{Service: "s"})
		if !ok {
			t.Fatal("the upstream takes no request")
		}
		selected.Service = usual
		attempt := &attempt{call: &call{gateway: &Gateway{options: Options{Table: table}}}, selection: selected, sentAt: clock.Now() - time.Second}
		_, stop := fleet.Follow(fleet.Options{VM: "entry", Zone: "z", Table: table, Calls: owner, Logger: log.New(io.Discard)})
		attempt.observeOverdue()
		table.Finish(selected)
		<-owner.idle
		stop()
		if owner.sum.GetCount() != want {
			t.Fatalf("usual time %v: %d answers, want %d", usual, owner.sum.GetCount(), want)
		}
	}
}
