package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// world is the truth behind a life: what each attempt really did.
type world struct {
	life     *Life
	terms    Terms
	budget   Budget
	now      time.Time
	length   core.Tokens
	attempts []*truth
	// shown holds the tokens that the caller got, by their offset.
	shown []core.Tokens
}

// truth is one attempt as the upstream sees it.
type truth struct {
	id core.AttemptID
	// ran is set once an upstream ran the attempt.
	ran     bool
	version core.Version
	sent    core.Tokens
	ended   bool
}

// TestEveryInterleaving guards against doubled or missing tokens, answers of
// another version, a second run of a call that may not be repeated, and refusals
// that say "not run" of something that ran, under any order of chunks, ends and
// losses over all attempts, including superseded ones.
func TestEveryInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":  world.send,
			"run":   world.run,
			"chunk": world.chunk,
			"whole": world.whole,
			"lose":  world.lose,
			"time": func(t *rapid.T) {
				world.now = world.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": world.check,
		})
	})
}

func newWorld(t *rapid.T) *world {
	world := &world{now: epoch, length: core.Tokens(rapid.IntRange(1, 5).Draw(t, "length"))}
	world.terms = Terms{Deadline: epoch.Add(5 * time.Second), Repeatable: rapid.Bool().Draw(t, "repeatable")}
	if world.terms.Model = world.terms.Repeatable && rapid.Bool().Draw(t, "model"); world.terms.Model {
		world.terms.Pin = core.AdapterVersion{Adapter: "x", Version: "1"}
		world.terms.Buffered = rapid.Bool().Draw(t, "buffered")
	}
	world.life = New(world.terms)
	if world.life.Queue(); !world.terms.Repeatable && world.life.Claim(ClaimGranted) != nil {
		t.Fatal("a granted claim was refused")
	}
	return world
}

func (world *world) send(t *rapid.T) {
	id := core.AttemptID(fmt.Sprint(len(world.attempts) + 1))
	offset, ok := world.life.Send(id)
	if !ok {
		t.Skip("not waiting for an attempt")
	}
	for _, earlier := range world.attempts {
		if earlier.ran && !world.terms.Repeatable {
			t.Fatalf("attempt %s was sent although %s ran", id, earlier.id)
		}
	}
	world.attempts = append(world.attempts, &truth{id: id, sent: offset, version: "1"})
}

func (world *world) pick(t *rapid.T) *truth {
	if len(world.attempts) == 0 {
		t.Skip("no attempt")
	}
	return rapid.SampledFrom(world.attempts).Draw(t, "attempt")
}

// run lets an attempt reach its upstream, even a superseded one.
func (world *world) run(t *rapid.T) {
	attempt := world.pick(t)
	if attempt.ended {
		t.Skip("ended")
	}
	if !attempt.ran && world.terms.Model && rapid.IntRange(0, 9).Draw(t, "wrong") == 0 {
		attempt.version = "2"
	}
	attempt.ran = true
}

func (world *world) chunk(t *rapid.T) {
	attempt := world.pick(t)
	if !attempt.ran {
		t.Skip("not run")
	}
	chunk := core.Chunk{Attempt: attempt.id}
	count := core.Tokens(0)
	if world.terms.Model {
		count = core.Tokens(rapid.IntRange(0, 2).Draw(t, "count"))
		chunk.Offset = min(world.length, attempt.sent+count)
		count = chunk.Offset - attempt.sent
		attempt.sent = chunk.Offset
		if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
			attempt.sent -= count // the same tokens arrive twice
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "head") > 0 {
		chunk.Head = &core.Head{Ran: core.AdapterVersion{Adapter: "x", Version: attempt.version}}
	}
	switch verdict := world.life.Accept(chunk, count); verdict {
	case Pass:
		world.pass(t, attempt, chunk, count)
	case Mismatch, Gap:
		world.decide(t, MismatchEnd(attempt.id, verdict, "engine-1"))
	}
}

func (world *world) pass(t *rapid.T, attempt *truth, chunk core.Chunk, count core.Tokens) {
	if attempt != world.attempts[len(world.attempts)-1] {
		t.Fatalf("a chunk of the superseded attempt %s was passed on", attempt.id)
	}
	if world.terms.Model && attempt.version != world.terms.Pin.Version {
		t.Fatalf("version %s was passed on", attempt.version)
	}
	for offset := chunk.Offset - count; offset < chunk.Offset; offset++ {
		world.shown = append(world.shown, offset)
	}
}

func (world *world) whole(t *rapid.T) {
	attempt := world.pick(t)
	if !attempt.ran {
		t.Skip("not run")
	}
	attempt.ended = true
	world.decide(t, core.End{Attempt: attempt.id, Whole: true, Outcome: core.Ran, Tokens: attempt.sent})
}

// lose ends an attempt without an answer. Its end says "not run" only if that is
// true and stays true.
func (world *world) lose(t *rapid.T) {
	attempt := world.pick(t)
	outcomes := []core.Outcome{core.Unknown}
	if attempt.ran {
		outcomes = append(outcomes, core.Ran)
	} else {
		outcomes = append(outcomes, core.NotRun)
	}
	outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
	attempt.ended = attempt.ended || outcome == core.NotRun
	code := rapid.SampledFrom([]core.RefusalCode{core.CodeUpstreamFailed, core.CodeNoUpstream, core.CodeOverloaded, core.CodeDeadline}).Draw(t, "code")
	world.decide(t, core.End{Attempt: attempt.id, Outcome: outcome, Code: code, Upstream: "engine-1"})
}

func (world *world) decide(t *rapid.T, end core.End) {
	before := world.life.State()
	decision := world.life.End(end, Situation{
		Now: world.now, Groups: rapid.IntRange(0, 3).Draw(t, "groups"), Budget: &world.budget,
		Jitter: rapid.Float64Range(0, 0.999).Draw(t, "jitter"),
	})
	switch decision.Action {
	case Restart:
		if !world.terms.Buffered {
			t.Fatal("an answer that the caller saw was started again")
		}
		world.shown = nil
	case Refuse:
		world.refused(t, decision)
	case Ignore:
		if !before.Final() && end.Attempt == world.attempts[len(world.attempts)-1].id && before != Queued && before != Claimed && before != Resumed {
			t.Fatalf("the end of the current attempt was ignored in state %s", before)
		}
	}
}

func (world *world) refused(t *rapid.T, decision Decision) {
	if decision.Refusal == nil || decision.Refusal.Code == "" {
		t.Fatal("a refusal without a code")
	}
	for _, attempt := range world.attempts {
		if attempt.ran && decision.Refusal.Outcome == core.NotRun {
			t.Fatalf("refused as not run although attempt %s ran", attempt.id)
		}
	}
}

func (world *world) check(t *rapid.T) {
	for place, offset := range world.shown {
		if core.Tokens(place) != offset {
			t.Fatalf("token %d came at place %d", offset, place)
		}
	}
	if world.terms.Model && core.Tokens(len(world.shown)) != world.life.Tokens() {
		t.Fatalf("%d tokens shown, %d counted", len(world.shown), world.life.Tokens())
	}
	if len(world.attempts) > maxAttempts {
		t.Fatalf("%d attempts", len(world.attempts))
	}
}

// TestBudget guards against retries that multiply an overload: beyond the
// reserve, at most a tenth of the requests is repeated.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var budget Budget
	for range retryReserve {
		is.True(budget.Take()) // the reserve is used up first
	}
	taken := 0
	for range 1000 {
		budget.Request()
		if budget.Take() {
			taken++
		}
	}
	is.True(taken >= 99 && taken <= 100)
}

// TestBackoff guards against retries that come together or too late.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := backoff(rapid.IntRange(1, 100).Draw(t, "number"), rapid.Float64Range(0, 0.999).Draw(t, "jitter"))
		if wait < backoffBase/2 || wait > backoffMax {
			t.Fatalf("wait of %s", wait)
		}
	})
}
