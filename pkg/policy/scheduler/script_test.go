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
	"github.com/dandelionring/dandelionring/pkg/policy/routing"
	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// TestScripts plays the files of testdata/script against a scheduler. Each file names
// the failure that it guards against in its first lines.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		play := &script{t: t, now: start}
		datadriven.RunTest(t, path, play.run)
	})
}

type script struct {
	t         *testing.T
	now       time.Time
	scheduler *scheduler.Scheduler
}

func (script *script) run(t *testing.T, data *datadriven.TestData) string {
	script.t = t
	if data.Cmd == "new" {
		script.begin(data)
		return ""
	}
	var note string
	for _, line := range append([]string{strings.TrimSpace(data.Cmd + " " + arguments(data))}, strings.Split(data.Input, "\n")...) {
		if line = strings.TrimSpace(line); line != "" {
			note += script.step(strings.Fields(line))
		}
	}
	for _, action := range script.scheduler.Take(nil) {
		note += describe(action) + "\n"
	}
	return note
}

func arguments(data *datadriven.TestData) string {
	var words []string
	for _, argument := range data.CmdArgs {
		words = append(words, argument.String())
	}
	return strings.Join(words, " ")
}

func (script *script) begin(data *datadriven.TestData) {
	config := scheduler.Config{
		Batching: batching.Setting{StallWeight: 1},
		Budget:   budget.Share{PerSecond: 7, Concurrent: 3, Transits: 25},
	}
	for _, argument := range data.CmdArgs {
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

// words are the arguments of a step: plain words in order, and key=value pairs.
type words struct {
	plain []string
	pairs map[string]string
}

func parse(fields []string) words {
	parsed := words{pairs: map[string]string{}}
	for _, field := range fields {
		if key, value, found := strings.Cut(field, "="); found {
			parsed.pairs[key] = value
		} else {
			parsed.plain = append(parsed.plain, field)
		}
	}
	return parsed
}

func (words words) has(word string) bool {
	for _, plain := range words.plain {
		if plain == word {
			return true
		}
	}
	return false
}

func (words words) number(key string, fallback int) int {
	if number, err := strconv.Atoi(words.pairs[key]); err == nil {
		return number
	}
	return fallback
}

func (words words) duration(key string, fallback time.Duration) time.Duration {
	if duration, err := time.ParseDuration(words.pairs[key]); err == nil {
		return duration
	}
	return fallback
}

func (words words) incarnation() core.Incarnation {
	return core.Incarnation(strconv.Itoa(words.number("inc", 1)))
}

func (script *script) step(fields []string) string {
	words := parse(fields[1:])
	words.plain = append(words.plain, "")
	first := words.plain[0]
	engine := core.UpstreamID(first)
	attempt := core.AttemptID(first)
	last := adapter(words.plain[max(0, len(words.plain)-2)])
	switch fields[0] {
	case "after":
		passed, err := time.ParseDuration(first)
		if err != nil {
			script.t.Fatal(err)
		}
		script.now = script.now.Add(passed)
		script.scheduler.Tick(script.now)
	case "announce":
		script.announce(words)
	case "lose":
		script.scheduler.Lose(engine, words.incarnation(), script.now)
	case "call":
		script.call(words)
	case "burst":
		script.burst(words)
	case "cancel":
		return fmt.Sprintf("cancelled %v\n", script.scheduler.Cancel(attempt, script.now))
	case "start":
		return fmt.Sprintf("started %v\n", script.scheduler.Start(attempt, core.UpstreamID(words.plain[1]), words.incarnation(), script.now))
	case "ended":
		script.scheduler.Ended(attempt, !words.has("unconfirmed"), script.now)
	case "loaded", "failed":
		script.scheduler.LoadAnswered(engine, words.incarnation(), last, fields[0] == "loaded", script.now)
	case "evicted", "kept":
		script.scheduler.EvictAnswered(engine, words.incarnation(), last, fields[0] == "evicted", script.now)
	case "budget":
		rate, _ := strconv.ParseFloat(words.pairs["rate"], 64)
		script.scheduler.SetBudget(budget.Share{PerSecond: core.LoadsPerSecond(rate), Concurrent: words.number("concurrent", 3)}, script.now)
	case "cached":
		script.scheduler.CacheEvents(engine, words.incarnation(), []routing.CacheEvent{{
			Sequence: uint64(words.number("sequence", 1)), Prefix: uint64(words.number("prefix", 0)), Added: !words.has("dropped"),
		}})
	case "shut":
		script.scheduler.Shut(script.now)
	case "next":
		next, _ := script.scheduler.NextTick(script.now)
		return fmt.Sprintf("next tick in %v\n", next.Sub(script.now))
	default:
		script.t.Fatalf("unknown step %q", fields[0])
	}
	return ""
}

func adapter(text string) core.AdapterVersion {
	name, err := core.ParseAdapterVersion(text)
	if err != nil {
		return core.AdapterVersion{}
	}
	return name
}

func (script *script) announce(words words) {
	announcement := core.Announcement{
		Upstream: core.UpstreamID(words.plain[0]), Incarnation: words.incarnation(), Leaving: words.has("leaving"),
		Slots: words.number("slots", 2), BatchSize: words.number("batch", 2), Running: words.number("running", 0),
		Queued: words.number("queued", 0), ReportAge: words.duration("age", 0),
	}
	if resident := words.pairs["resident"]; resident != "" {
		for _, text := range strings.Split(resident, ",") {
			name, running, _ := strings.Cut(text, ":")
			count, _ := strconv.Atoi(running)
			announcement.Resident = append(announcement.Resident, core.Resident{AdapterVersion: adapter(name), Running: count})
		}
	}
	script.scheduler.Announce(announcement, script.now)
}

func (script *script) call(words words) {
	call := scheduler.Call{
		Attempt: core.AttemptID(words.plain[0]), Customer: core.CustomerID(words.pairs["customer"]),
		Adapter: adapter(words.pairs["adapter"]), Priority: core.Priority(words.number("priority", 0)),
		Deadline: script.now.Add(words.duration("deadline", 10*time.Second)), Suspect: words.has("suspect"),
	}
	if prefix := words.number("prefix", 0); prefix > 0 {
		call.Prefixes = []uint64{uint64(prefix)}
	}
	script.scheduler.Enqueue(call, script.now)
}

// burst runs many calls at once and hides their actions.
func (script *script) burst(words words) {
	count, _ := strconv.Atoi(words.plain[1])
	for i := range count {
		words.plain[0] = fmt.Sprintf("burst-%d", i)
		script.call(words)
	}
	for _, action := range script.scheduler.Take(nil) {
		script.scheduler.Start(action.Attempt, action.Upstream, action.Incarnation, script.now)
		script.scheduler.Ended(action.Attempt, true, script.now)
	}
	script.scheduler.Take(nil)
}

func describe(action scheduler.Action) string {
	switch action.Kind {
	case scheduler.Send:
		return fmt.Sprintf("send %s to %s/%s %s queued=%v stalled=%v", action.Attempt, action.Upstream, action.Incarnation, action.Adapter, action.Queued, action.Stalled)
	case scheduler.Refuse:
		return fmt.Sprintf("refuse %s %s %s", action.Attempt, action.Refusal.Code, action.Refusal.Outcome)
	default:
		return fmt.Sprintf("%s %s on %s/%s", action.Kind, action.Adapter, action.Upstream, action.Incarnation)
	}
}
