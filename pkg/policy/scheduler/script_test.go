package scheduler_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
	"github.com/dandelionring/dandelionring/pkg/policy/budget"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
	"github.com/dandelionring/dandelionring/pkg/policy/routing"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// TestScripts runs the commands of each file in testdata/script against a scheduler
// and compares the resulting actions. The first lines of a file describe the failures
// that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		runner := &scriptRunner{t: t, now: start}
		datadriven.RunTest(t, path, runner.runCommand)
	})
}

// scriptRunner runs the commands of one file against a scheduler.
type scriptRunner struct {
	t         *testing.T
	now       time.Time
	scheduler *scheduler.Scheduler
}

func (script *scriptRunner) runCommand(t *testing.T, command *datadriven.TestData) string {
	script.t = t
	if command.Cmd == "new" {
		script.newScheduler(command)
		return ""
	}
	var output string
	for _, line := range append([]string{strings.TrimSpace(command.Cmd + " " + commandArguments(command))}, strings.Split(command.Input, "\n")...) {
		if line = strings.TrimSpace(line); line != "" {
			output += script.runStep(strings.Fields(line))
		}
	}
	for _, action := range script.scheduler.TakeActions(nil) {
		output += formatAction(action) + "\n"
	}
	return output
}

func commandArguments(command *datadriven.TestData) string {
	var words []string
	for _, argument := range command.CmdArgs {
		words = append(words, argument.String())
	}
	return strings.Join(words, " ")
}

func (script *scriptRunner) newScheduler(command *datadriven.TestData) {
	config := scheduler.Config{
		Batching: batching.Setting{StallWeight: 1},
		Budget:   budget.Share{PerSecond: 7, Concurrent: 3, Transits: 25},
	}
	for _, argument := range command.CmdArgs {
		number, err := strconv.ParseFloat(argument.Vals[0], 64)
		if err != nil {
			script.t.Fatal(err)
		}
		switch argument.Key {
		case "queue":
			config.QueueLimit = int(number)
		case "weight":
			config.Batching.StallWeight = number
		case "concurrent":
			config.Budget.Concurrent = int(number)
		case "rate":
			config.Budget.PerSecond = core.LoadsPerSecond(number)
		}
	}
	script.now = start
	script.scheduler = scheduler.New(config, start)
}

// stepArguments holds the arguments of a step: positional words and key=value pairs.
type stepArguments struct {
	positional []string
	named      map[string]string
}

func parseArguments(fields []string) stepArguments {
	parsed := stepArguments{named: map[string]string{}}
	for _, field := range fields {
		if key, value, found := strings.Cut(field, "="); found {
			parsed.named[key] = value
		} else {
			parsed.positional = append(parsed.positional, field)
		}
	}
	return parsed
}

func (args stepArguments) hasFlag(flag string) bool {
	for _, argument := range args.positional {
		if argument == flag {
			return true
		}
	}
	return false
}

func (args stepArguments) number(key string, fallback int) int {
	if number, err := strconv.Atoi(args.named[key]); err == nil {
		return number
	}
	return fallback
}

func (args stepArguments) duration(key string, fallback time.Duration) time.Duration {
	if duration, err := time.ParseDuration(args.named[key]); err == nil {
		return duration
	}
	return fallback
}

func (args stepArguments) incarnation() core.Incarnation {
	return core.Incarnation(strconv.Itoa(args.number("inc", 1)))
}

func (script *scriptRunner) runStep(fields []string) string {
	args := parseArguments(fields[1:])
	args.positional = append(args.positional, "")
	first := args.positional[0]
	engine := core.UpstreamID(first)
	attempt := core.AttemptID(first)
	version := parseAdapter(args.positional[max(0, len(args.positional)-2)])
	switch fields[0] {
	case "after":
		elapsed, err := time.ParseDuration(first)
		if err != nil {
			script.t.Fatal(err)
		}
		script.now = script.now.Add(elapsed)
		script.scheduler.Tick(script.now)
	case "announce":
		script.announce(args)
	case "lose":
		script.scheduler.UpstreamLost(engine, args.incarnation(), script.now)
	case "call":
		script.call(args)
	case "burst":
		script.burst(args)
	case "cancel":
		return fmt.Sprintf("cancelled %v\n", script.scheduler.Cancel(attempt, script.now))
	case "start":
		return fmt.Sprintf("started %v\n", script.scheduler.Start(attempt, core.UpstreamID(args.positional[1]), args.incarnation(), script.now))
	case "ended":
		script.scheduler.Ended(attempt, !args.hasFlag("unconfirmed"), script.now)
	case "loaded", "failed":
		script.scheduler.LoadAnswered(engine, args.incarnation(), version, fields[0] == "loaded", script.now)
	case "evicted", "kept":
		script.scheduler.EvictAnswered(engine, args.incarnation(), version, fields[0] == "evicted", script.now)
	case "budget":
		rate, _ := strconv.ParseFloat(args.named["rate"], 64)
		script.scheduler.SetBudget(budget.Share{PerSecond: core.LoadsPerSecond(rate), Concurrent: args.number("concurrent", 3)}, script.now)
	case "cached":
		script.scheduler.ApplyCacheEvents(engine, args.incarnation(), []routing.CacheEvent{{
			Sequence: uint64(args.number("sequence", 1)), Prefix: uint64(args.number("prefix", 0)), Added: !args.hasFlag("dropped"),
		}})
	case "shut":
		script.scheduler.RefuseUnstarted(script.now)
	case "next":
		next, _ := script.scheduler.NextTick(script.now)
		return fmt.Sprintf("next tick in %v\n", next.Sub(script.now))
	default:
		script.t.Fatalf("unknown step %q", fields[0])
	}
	return ""
}

func parseAdapter(text string) core.AdapterVersion {
	name, err := core.ParseAdapterVersion(text)
	if err != nil {
		return core.AdapterVersion{}
	}
	return name
}

func (script *scriptRunner) announce(args stepArguments) {
	announcement := core.Announcement{
		Upstream: core.UpstreamID(args.positional[0]), Incarnation: args.incarnation(), Leaving: args.hasFlag("leaving"),
		Slots: args.number("slots", 2), BatchSize: args.number("batch", 2), Running: args.number("running", 0),
		Queued: args.number("queued", 0), ReportAge: args.duration("age", 0), Software: core.SoftwareVersion(args.named["software"]),
	}
	if resident := args.named["resident"]; resident != "" {
		for _, text := range strings.Split(resident, ",") {
			name, running, _ := strings.Cut(text, ":")
			count, _ := strconv.Atoi(running)
			announcement.Resident = append(announcement.Resident, core.Resident{AdapterVersion: parseAdapter(name), Running: count})
		}
	}
	script.scheduler.Announced(announcement, script.now)
}

func (script *scriptRunner) call(args stepArguments) {
	call := scheduler.Call{
		Attempt: core.AttemptID(args.positional[0]), Customer: core.CustomerID(args.named["customer"]),
		Adapter: parseAdapter(args.named["adapter"]), Priority: core.Priority(args.number("priority", 0)),
		Deadline: script.now.Add(args.duration("deadline", 10*time.Second)), Suspect: args.hasFlag("suspect"),
	}
	if software, continues := args.named["continues"]; continues {
		call.Origin = origin.Requirement{Continues: true, Software: core.SoftwareVersion(software)}
	}
	if prefix := args.number("prefix", 0); prefix > 0 {
		call.Prefixes = []uint64{uint64(prefix)}
	}
	script.scheduler.Enqueue(call, script.now)
}

// burst enqueues many calls at the same time, ends those that are sent, and discards
// the actions.
func (script *scriptRunner) burst(args stepArguments) {
	count, _ := strconv.Atoi(args.positional[1])
	for i := range count {
		args.positional[0] = fmt.Sprintf("burst-%d", i)
		script.call(args)
	}
	for _, action := range script.scheduler.TakeActions(nil) {
		script.scheduler.Start(action.Attempt, action.Upstream, action.Incarnation, script.now)
		script.scheduler.Ended(action.Attempt, true, script.now)
	}
	script.scheduler.TakeActions(nil)
}

func formatAction(action scheduler.Action) string {
	switch action.Kind {
	case scheduler.Send:
		return fmt.Sprintf("send %s to %s/%s %s queued=%v stalled=%v", action.Attempt, action.Upstream, action.Incarnation, action.Adapter, action.Queued, action.Stalled)
	case scheduler.Refuse:
		return fmt.Sprintf("refuse %s %s %s", action.Attempt, action.Refusal.Code, action.Refusal.Outcome)
	default:
		return fmt.Sprintf("%s %s on %s/%s", action.Kind, action.Adapter, action.Upstream, action.Incarnation)
	}
}
