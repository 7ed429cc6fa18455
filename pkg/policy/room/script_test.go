package room

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestDecide guards against a request that is held or refused although a slot is free or its answer
// is predicted in time, one that is refused although it can be answered before its deadline, and
// a decision on a state that is not known.
func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, data *datadriven.TestData) string {
		request := Request{Objective: 150 * time.Millisecond, ToObjective: 150 * time.Millisecond, ToDeadline: 1200 * time.Millisecond}
		state := State{Load: 1, Service: 30 * time.Millisecond, Slots: 18, Requests: 18, VMs: 70}
		scanSpan(t, data, "objective", &request.ToObjective)
		scanSpan(t, data, "deadline", &request.ToDeadline)
		scanSpan(t, data, "service", &state.Service)
		scanSpan(t, data, "hold", &state.Hold)
		scanSpan(t, data, "age", &state.Age)
		scanSpan(t, data, "turn", &state.Turn)
		data.MaybeScanArgs(t, "load", &state.Load)
		data.MaybeScanArgs(t, "size", &request.Size)
		data.MaybeScanArgs(t, "spread", &request.Spread)
		data.MaybeScanArgs(t, "crowded", &state.Crowded)
		data.MaybeScanArgs(t, "waiting", &state.Waiting)
		decision := Decide(request, state)
		text := decision.Action.String()
		if decision.After > 0 {
			text += fmt.Sprint(" after ", decision.After.Round(time.Millisecond))
		}
		if decision.Last {
			text += " at the last moment"
		}
		return text + "\n"
	})
}

// scanSpan sets a duration from an argument of a command, if it is there.
func scanSpan(t *testing.T, data *datadriven.TestData, name string, span *time.Duration) {
	text := ""
	data.MaybeScanArgs(t, name, &text)
	if text == "" {
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	*span = value
}

// TestOrder guards against an order of the waiting requests of one VM in which late ones come before
// those in time, less urgent ones before urgent ones, one workspace takes all, or large ones come
// last.
func TestOrder(t *testing.T) {
	datadriven.RunTest(t, "testdata/order", func(t *testing.T, data *datadriven.TestData) string {
		queue := &Queue{}
		full := State{Load: 4.5, Service: 30 * time.Millisecond, Slots: 6, Requests: 27, VMs: 1}
		at := time.Second
		names := make(map[TicketID]string)
		for i, line := range strings.Split(data.Input, "\n") {
			fields := strings.Fields(line)
			ticket := Ticket{ID: TicketID(i + 1), Arrived: at, Objective: 150 * time.Millisecond, Deadline: at + 2*time.Second, Tokens: 1}
			used := 0
			for _, field := range fields[1:] {
				name, value, _ := strings.Cut(field, "=")
				switch name {
				case "late":
					ticket.Arrived -= time.Second
				case "rank":
					_, _ = fmt.Sscan(value, &ticket.Rank)
				case "size":
					_, _ = fmt.Sscan(value, &ticket.Size)
				case "workspace":
					ticket.Share.Workspace = core.WorkspaceID(value)
				case "weight":
					_, _ = fmt.Sscan(value, &ticket.Share.Weight)
				case "used":
					_, _ = fmt.Sscan(value, &used)
				case "deadline":
					left, err := time.ParseDuration(value)
					if err != nil {
						t.Fatal(err)
					}
					ticket.Deadline = at + left
				}
			}
			if used > 0 {
				queue.shares.sent(at, ticket.Share, core.Tokens(used))
			}
			names[ticket.ID] = fields[0]
			if decision, _ := queue.Arrive(at, ticket, full); decision.Action != Wait {
				t.Fatalf("%s does not wait: %v", line, decision)
			}
		}
		var order []string
		for _, outcome := range queue.Review(at+time.Millisecond, func(Ticket) (State, bool) {
			return State{Load: 0.1, Service: 30 * time.Millisecond, Slots: 1000, VMs: 1}, true
		}) {
			order = append(order, names[outcome.Ticket])
		}
		return strings.Join(order, " ") + "\n"
	})
}

// targetPart is the part of the requests that the upstreams could answer in time which has to be:
// a quarter is left for what VMs do not know of each other.
const targetPart = 0.75

// TestPlays guards against an overload in which most answers are late, one in which requests that
// are answered late or never take the place of others, and against groups that starve. Each play is
// a load of docs/design/hard-load.md; the argument without plays it with each request sent at
// once, and shows that the checks fail then.
func TestPlays(t *testing.T) {
	datadriven.RunTest(t, "testdata/plays", func(t *testing.T, data *datadriven.TestData) string {
		var failed []string
		for seed := range uint64(3) {
			load := parseLoad(t, data)
			load.seed = seed
			result := play(load)
			for _, name := range result.failures(t, data) {
				if !slices.Contains(failed, name) {
					failed = append(failed, name)
				}
			}
		}
		if len(failed) == 0 {
			return "ok\n"
		}
		slices.Sort(failed)
		return "failed: " + strings.Join(failed, ", ") + "\n"
	})
}

// parseLoad returns the load of a play: by default the calls of a plain service with three
// upstreams.
func parseLoad(t *testing.T, data *datadriven.TestData) load {
	load := load{
		vms: 70, upstreams: 3, slots: 6, queue: 24, service: 30 * time.Millisecond, hold: 30 * time.Millisecond,
		objective: 150 * time.Millisecond, deadline: 2500 * time.Millisecond, timeout: 1200 * time.Millisecond,
		rate: 369, burst: 1, burstFrom: time.Second, burstTo: 4 * time.Second, arrivalsEnd: 6 * time.Second, cutFrom: time.Hour, cutTo: time.Hour,
	}
	if data.HasArg("engines") {
		load.upstreams, load.slots, load.queue = 6, 16, 48
		load.service, load.hold = 100*time.Millisecond, time.Second
		load.objective, load.deadline, load.timeout = 800*time.Millisecond, 6*time.Second, 6*time.Second
		load.rate, load.sizes = 65, true
	}
	if data.HasArg("restart") {
		load.burstFrom, load.burstTo = 0, time.Second
	}
	data.MaybeScanArgs(t, "restart", &load.restart)
	data.MaybeScanArgs(t, "burst", &load.burst)
	data.MaybeScanArgs(t, "vms", &load.vms)
	data.MaybeScanArgs(t, "workspaces", &load.workspaces)
	data.MaybeScanArgs(t, "heavy", &load.heavy)
	data.MaybeScanArgs(t, "ranks", &load.ranks)
	data.MaybeScanArgs(t, "without", &load.without)
	scanSpan(t, data, "cut-from", &load.cutFrom)
	scanSpan(t, data, "cut-to", &load.cutTo)
	return load
}

// possible returns the part of the requests of the burst that the upstreams could answer in time.
func (result result) possible() float64 {
	span := (result.burstTo - result.burstFrom).Seconds()
	capacity := float64(result.upstreams*result.slots) / result.hold.Seconds()
	lost := max(0, min(result.cutTo, result.burstTo)-max(result.cutFrom, result.burstFrom)).Seconds()
	served := capacity*span - capacity/float64(result.upstreams)*lost
	return min(1, served/(result.rate*result.burst*span+float64(result.restart)))
}

// answerable returns the part of the requests of the burst that the upstreams could answer before
// their timeout, if later ones are answered at once.
func (result result) answerable() float64 {
	span := (result.burstTo - result.burstFrom).Seconds()
	capacity := float64(result.upstreams*result.slots) / result.hold.Seconds()
	served := capacity*span + (capacity-result.rate)*result.timeout.Seconds()
	return min(1, served/(result.rate*result.burst*span+float64(result.restart)))
}

// failures returns the names of the checks of a play that failed.
func (result result) failures(t *testing.T, data *datadriven.TestData) []string {
	var failed []string
	check := func(name string, value, bound float64) {
		t.Logf("%s: seed %d: %s %.3f, at least %.3f", data.Pos, result.seed, name, value, bound)
		if value < bound {
			failed = append(failed, name)
		}
	}
	all := func(*job) bool { return true }
	inTime, answered := result.share(all)
	t.Logf("%s: seed %d: in time %.3f answered %.3f waited %d refused %d rejected %d expired %d idle %dms of %d", data.Pos, result.seed, inTime, answered, result.waited, result.refused, result.rejected, result.expired, result.idle, len(result.jobs))
	switch {
	case data.HasArg("usual"):
		check("none waits", -float64(result.waited), 0)
		check("none refused", -float64(result.refused), 0)
	case data.HasArg("restart"):
		check("answered", answered, targetPart*result.answerable())
	default:
		check("in time", inTime, targetPart*result.possible())
	}
	if result.workspaces > 0 {
		heavy, _ := result.share(func(job *job) bool { return job.workspace == 0 })
		others, othersAnswered := result.share(func(job *job) bool { return job.workspace > 0 })
		check("other workspaces in time", others, targetPart*result.possible())
		check("other workspaces before the heavy one", others, heavy*1.5)
		check("other workspaces answered", othersAnswered, 0.9)
		check("the heavy one does not starve", heavy, targetPart/float64(result.workspaces))
	}
	if result.ranks > 0 {
		before := 0.0
		for rank := result.ranks - 1; rank >= 0; rank-- {
			share, _ := result.share(func(job *job) bool { return job.rank == rank })
			check(fmt.Sprint("rank ", rank, " before the next"), share, before*1.2)
			before = share
		}
		check("the most urgent rank in time", before, targetPart)
	}
	if result.sizes {
		large, largeAnswered := result.share(func(job *job) bool { return job.size > largeSize })
		check("the largest tenth in time", large, targetPart*inTime)
		check("the largest tenth answered", largeAnswered, targetPart*answered)
	}
	// Whether a request of an engine's callers is answered depends on the sizes of those before it.
	if !result.without && !result.sizes {
		check("none expires", -float64(result.expired), 0)
	}
	return failed
}

// largeSize is the size above which a tenth of the requests are.
const largeSize = 2.3

// TestFreeSlots guards against a request that waits or is refused while a slot is free, or while its
// answer is predicted within its objective with the reserve.
func TestFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := time.Duration(rapid.Int64Range(1, int64(2*time.Second)).Draw(t, "service"))
		objective := time.Duration(rapid.Int64Range(1, int64(4*time.Second)).Draw(t, "objective"))
		state := State{
			Load: rapid.Float64Range(0, 8).Draw(t, "load"), Service: service, Hold: service + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "more")),
			Age: time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "age")), Slots: 18, VMs: 70,
		}
		request := Request{
			Objective: objective, ToObjective: time.Duration(rapid.Int64Range(-int64(time.Second), int64(objective)).Draw(t, "left")),
			ToDeadline: objective + time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "patience")), Spread: rapid.Float64Range(0, 1).Draw(t, "spread"),
		}
		decision := Decide(request, state)
		predicted := state.Service + time.Duration(max(0, state.Load-1)*float64(state.Hold))
		inTime := predicted+time.Duration(reservedPart*float64(objective)) < request.ToObjective
		end := predicted + state.Hold - state.Service
		answered, safely := end < request.ToDeadline, end+time.Duration(deadlinePart*float64(end)) < request.ToDeadline
		if (state.Load <= 1 || state.Age > maxAge || inTime && safely) && decision.Action != Send {
			t.Fatalf("%v instead of a send", decision)
		}
		if answered && decision.Action == Refuse {
			t.Fatal("a request that can be answered is refused")
		}
		if decision.Action != Send && decision.After <= 0 {
			t.Fatalf("%v at no time", decision)
		}
	})
}

// TestQueue guards against a request that is lost or decided on twice, one that waits beyond the
// time at which it can still be answered, and one that stays after its caller has left.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := &Queue{}
		now := time.Second
		waiting := make(map[TicketID]Ticket)
		state := State{Load: 1, Service: 30 * time.Millisecond, Slots: 18, VMs: 70}
		last := TicketID(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "pause"))
			if next, ok := queue.Next(); ok {
				now = min(now, max(next, now-50*time.Millisecond))
			}
			state.Requests = rapid.IntRange(0, 90).Draw(t, "requests")
			state.Load = float64(state.Requests+1) / float64(state.Slots)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				last++
				ticket := Ticket{
					ID: last, Arrived: now, Objective: 150 * time.Millisecond, Deadline: now + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "deadline")),
					Rank: rapid.IntRange(-1, 5).Draw(t, "rank"), Share: Share{Workspace: core.WorkspaceID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"))},
					Tokens: core.Tokens(rapid.IntRange(0, 1000).Draw(t, "tokens")),
				}
				if decision, _ := queue.Arrive(now, ticket, state); decision.Action == Wait {
					waiting[last] = ticket
				}
			case 1:
				id := TicketID(rapid.IntRange(0, int(last)+1).Draw(t, "id"))
				if _, ok := waiting[id]; queue.Remove(id) != ok {
					t.Fatalf("the removal of %d is wrong", id)
				}
				delete(waiting, id)
			case 2:
				queue.Report(now, 150*time.Millisecond, state, rapid.Float64Range(0, 1).Draw(t, "phase"))
			}
			for _, outcome := range queue.Review(now, func(Ticket) (State, bool) { return state, true }) {
				if _, ok := waiting[outcome.Ticket]; !ok {
					t.Fatalf("%d is decided on, but does not wait", outcome.Ticket)
				}
				delete(waiting, outcome.Ticket)
			}
			if queue.Len() != len(waiting) {
				t.Fatalf("%d requests wait instead of %d", queue.Len(), len(waiting))
			}
			for id, ticket := range waiting {
				if ticket.Deadline-now < state.Service {
					t.Fatalf("%d waits although it cannot be answered any more", id)
				}
			}
			if next, ok := queue.Next(); ok && next < now {
				t.Fatal("the next time has passed")
			}
		}
	})
}
