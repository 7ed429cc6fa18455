package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// simulation runs a request against simulated upstreams and records what each attempt
// did.
type simulation struct {
	lifecycle *Lifecycle
	params    RequestParams
	budget    Budget
	now       time.Time
	length    core.Tokens
	attempts  []*simulatedAttempt
	// delivered holds the offsets of the tokens passed on, in order.
	delivered []core.Tokens
	// software is the version that produced these tokens.
	software core.SoftwareVersion
}

// simulatedAttempt is one attempt from the point of view of its upstream.
type simulatedAttempt struct {
	id core.AttemptID
	// ran is set once an upstream ran the attempt.
	ran     bool
	version core.Version
	// software is the version of the upstream's software.
	software core.SoftwareVersion
	sent     core.Tokens
	ended    bool
}

// TestEveryInterleaving guards against duplicate or missing tokens, answers of another
// adapter version or of two software versions, a second run of a call that must not be repeated, and refusals with
// the outcome "not run" for a request that ran. It covers any order of chunks, ends and
// failures of all attempts, including superseded ones.
func TestEveryInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":  simulation.send,
			"run":   simulation.run,
			"chunk": simulation.sendChunk,
			"whole": simulation.endWhole,
			"fail":  simulation.endWithFailure,
			"time": func(t *rapid.T) {
				simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": simulation.checkInvariants,
		})
	})
}

func newSimulation(t *rapid.T) *simulation {
	simulation := &simulation{now: epoch, length: core.Tokens(rapid.IntRange(1, 5).Draw(t, "length"))}
	simulation.params = RequestParams{Deadline: epoch.Add(5 * time.Second), Repeatable: rapid.Bool().Draw(t, "repeatable")}
	if simulation.params.Model = simulation.params.Repeatable && rapid.Bool().Draw(t, "model"); simulation.params.Model {
		simulation.params.Pin = core.AdapterVersion{Adapter: "x", Version: "1"}
		simulation.params.Buffered = rapid.Bool().Draw(t, "buffered")
	}
	simulation.lifecycle = New(simulation.params)
	if simulation.lifecycle.Enqueue(); !simulation.params.Repeatable && simulation.lifecycle.Claim(ClaimGranted) != nil {
		t.Fatal("a granted claim was refused")
	}
	return simulation
}

func (simulation *simulation) send(t *rapid.T) {
	id := core.AttemptID(fmt.Sprint(len(simulation.attempts) + 1))
	offset, ok := simulation.lifecycle.Send(id)
	if !ok {
		t.Skip("not waiting for an attempt")
	}
	for _, earlier := range simulation.attempts {
		if earlier.ran && !simulation.params.Repeatable {
			t.Fatalf("attempt %s was sent although %s ran", id, earlier.id)
		}
	}
	software := rapid.SampledFrom([]core.SoftwareVersion{"s1", "s1", "s2", ""}).Draw(t, "software")
	simulation.attempts = append(simulation.attempts, &simulatedAttempt{id: id, sent: offset, version: "1", software: software})
}

func (simulation *simulation) pickAttempt(t *rapid.T) *simulatedAttempt {
	if len(simulation.attempts) == 0 {
		t.Skip("no attempt")
	}
	return rapid.SampledFrom(simulation.attempts).Draw(t, "attempt")
}

// run makes an attempt, possibly a superseded one, reach its upstream and run.
func (simulation *simulation) run(t *rapid.T) {
	attempt := simulation.pickAttempt(t)
	if attempt.ended {
		t.Skip("ended")
	}
	if !attempt.ran && simulation.params.Model && rapid.IntRange(0, 9).Draw(t, "wrong") == 0 {
		attempt.version = "2"
	}
	attempt.ran = true
}

func (simulation *simulation) sendChunk(t *rapid.T) {
	attempt := simulation.pickAttempt(t)
	if !attempt.ran {
		t.Skip("not run")
	}
	chunk := core.Chunk{Attempt: attempt.id}
	count := core.Tokens(0)
	if simulation.params.Model {
		count = core.Tokens(rapid.IntRange(0, 2).Draw(t, "count"))
		chunk.Offset = min(simulation.length, attempt.sent+count)
		count = chunk.Offset - attempt.sent
		attempt.sent = chunk.Offset
		if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
			attempt.sent -= count // the next chunk repeats the same tokens
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "head") > 0 {
		chunk.Head = &core.Head{Ran: core.AdapterVersion{Adapter: "x", Version: attempt.version}, Software: attempt.software}
	}
	switch verdict := simulation.lifecycle.Accept(chunk, count); verdict {
	case Pass:
		simulation.recordDelivery(t, attempt, chunk, count)
	case Mismatch, Gap:
		simulation.applyEnd(t, RejectedChunkEnd(attempt.id, verdict, "engine-1"))
	}
}

func (simulation *simulation) recordDelivery(t *rapid.T, attempt *simulatedAttempt, chunk core.Chunk, count core.Tokens) {
	if attempt != simulation.attempts[len(simulation.attempts)-1] {
		t.Fatalf("a chunk of the superseded attempt %s was passed on", attempt.id)
	}
	if simulation.params.Model && attempt.version != simulation.params.Pin.Version {
		t.Fatalf("version %s was passed on", attempt.version)
	}
	if len(simulation.delivered) > 0 && count > 0 && attempt.software != simulation.software {
		t.Fatalf("tokens of software %q follow those of %q", attempt.software, simulation.software)
	}
	simulation.software = attempt.software
	for offset := chunk.Offset - count; offset < chunk.Offset; offset++ {
		simulation.delivered = append(simulation.delivered, offset)
	}
}

func (simulation *simulation) endWhole(t *rapid.T) {
	attempt := simulation.pickAttempt(t)
	if !attempt.ran {
		t.Skip("not run")
	}
	attempt.ended = true
	simulation.applyEnd(t, core.End{Attempt: attempt.id, Whole: true, Outcome: core.Ran, Tokens: attempt.sent})
}

// endWithFailure ends an attempt without an answer. The end has the outcome NotRun only
// if the attempt did not run; in that case the attempt cannot run later.
func (simulation *simulation) endWithFailure(t *rapid.T) {
	attempt := simulation.pickAttempt(t)
	outcomes := []core.Outcome{core.Unknown}
	if attempt.ran {
		outcomes = append(outcomes, core.Ran)
	} else {
		outcomes = append(outcomes, core.NotRun)
	}
	outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
	attempt.ended = attempt.ended || outcome == core.NotRun
	code := rapid.SampledFrom([]core.RefusalCode{core.CodeUpstreamFailed, core.CodeNoUpstream, core.CodeOverloaded, core.CodeDeadlineExceeded}).Draw(t, "code")
	simulation.applyEnd(t, core.End{Attempt: attempt.id, Outcome: outcome, Code: code, Upstream: "engine-1"})
}

func (simulation *simulation) applyEnd(t *rapid.T, end core.End) {
	before := simulation.lifecycle.State()
	decision := simulation.lifecycle.End(end, DecisionInput{
		Now: simulation.now, Groups: rapid.IntRange(0, 3).Draw(t, "groups"), Budget: &simulation.budget,
		Jitter: rapid.Float64Range(0, 0.999).Draw(t, "jitter"),
	})
	switch decision.Action {
	case Restart:
		if !simulation.params.Buffered {
			t.Fatal("an answer was restarted although the caller had received a part of it")
		}
		simulation.delivered = nil
	case Refuse:
		simulation.checkRefusal(t, decision)
	case Ignore:
		if !before.Final() && end.Attempt == simulation.attempts[len(simulation.attempts)-1].id && before != Queued && before != Claimed && before != Resumed {
			t.Fatalf("the end of the current attempt was ignored in state %s", before)
		}
	}
}

func (simulation *simulation) checkRefusal(t *rapid.T, decision Decision) {
	if decision.Refusal == nil || decision.Refusal.Code == "" {
		t.Fatal("a refusal without a code")
	}
	for _, attempt := range simulation.attempts {
		if attempt.ran && decision.Refusal.Outcome == core.NotRun {
			t.Fatalf("refused as not run although attempt %s ran", attempt.id)
		}
	}
}

func (simulation *simulation) checkInvariants(t *rapid.T) {
	for position, offset := range simulation.delivered {
		if core.Tokens(position) != offset {
			t.Fatalf("token %d was delivered at position %d", offset, position)
		}
	}
	if simulation.params.Model && core.Tokens(len(simulation.delivered)) != simulation.lifecycle.Tokens() {
		t.Fatalf("%d tokens delivered, %d counted", len(simulation.delivered), simulation.lifecycle.Tokens())
	}
	if len(simulation.attempts) > maxAttempts {
		t.Fatalf("%d attempts", len(simulation.attempts))
	}
}

// TestBudget guards against retries that amplify an overload: beyond the initial
// burst, at most a tenth of the requests may be retried.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var budget Budget
	for range retryBurst {
		is.True(budget.Take()) // the initial burst
	}
	taken := 0
	for range 1000 {
		budget.AddRequest()
		if budget.Take() {
			taken++
		}
	}
	is.True(taken >= 99 && taken <= 100)
}

// TestBackoff guards against delays below half of backoffBase, which would not spread
// retries, and above backoffMax.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := backoff(rapid.IntRange(1, 100).Draw(t, "number"), rapid.Float64Range(0, 0.999).Draw(t, "jitter"))
		if delay < backoffBase/2 || delay > backoffMax {
			t.Fatalf("delay of %s", delay)
		}
	})
}
