package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// attemptState is what an entry VM knows about its attempt.
type attemptState int

const (
	waiting attemptState = iota
	ran
	gaveUp
)

// claimModel is a set of entry VMs that claim keys over a network that delays,
// repeats and reorders their commands.
type claimModel struct {
	t        *rapid.T
	random   *rand.Rand
	state    *State
	index    uint64
	now      int64
	attempts []attemptState
	keys     []core.IdempotencyKey
	network  []Command
	// frozen is an earlier state and what it was encoded to at once.
	frozen Frozen
	before int
	runs   map[core.IdempotencyKey]int
}

// TestAtMostOnce guards against a second run of a call under one key, whatever is
// lost, repeated, delayed or restarted, and against an answer to a call that did
// not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &claimModel{
			t: t, state: New(Limits{}), runs: make(map[core.IdempotencyKey]int),
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))),
		}
		for range 300 {
			model.step()
		}
	})
}

func (model *claimModel) step() {
	model.now += model.random.Int64N(20)
	switch model.random.IntN(10) {
	case 0, 1, 2:
		model.claim()
	case 3:
		model.giveUp()
	case 4:
		model.restart()
	default:
		model.deliver()
	}
}

func (model *claimModel) claim() {
	attempt := len(model.attempts)
	key := core.IdempotencyKey(fmt.Sprint(model.random.IntN(3)))
	model.attempts = append(model.attempts, waiting)
	model.keys = append(model.keys, key)
	model.network = append(model.network, Command{Claim: &Claim{
		Key: key, Content: "call", Attempt: core.AttemptID(fmt.Sprint(attempt)), Holder: core.VMID(fmt.Sprint(model.random.IntN(2))),
		HolderIncarnation: core.Incarnation(fmt.Sprint(model.random.IntN(2))), HoldMillis: model.random.Int64N(200),
	}})
}

// giveUp lets the caller of a waiting attempt refuse its request as not run.
func (model *claimModel) giveUp() {
	if len(model.attempts) == 0 {
		return
	}
	attempt := model.random.IntN(len(model.attempts))
	if model.attempts[attempt] != waiting {
		return
	}
	model.attempts[attempt] = gaveUp
	model.record(attempt, core.NotRun)
}

func (model *claimModel) record(attempt int, outcome core.Outcome) {
	record := &Record{Key: model.keys[attempt], Attempt: core.AttemptID(fmt.Sprint(attempt)), Outcome: outcome}
	if outcome == core.Ran {
		record.Answer = &Answer{Status: 200}
	}
	model.network = append(model.network, Command{Record: record})
}

// restart also checks that a state that was frozen earlier has not changed since.
func (model *claimModel) restart() {
	if again, err := model.frozen.Encode(); err != nil || model.before > 0 && len(again) != model.before {
		model.t.Fatalf("a frozen state changed from %d to %d bytes: %v", model.before, len(again), err)
	}
	model.frozen = model.state.Freeze()
	encoded, err := model.frozen.Encode()
	if err != nil {
		model.t.Fatal(err)
	}
	model.before = len(encoded)
	if model.random.IntN(2) == 0 {
		return // further commands change the state that was frozen
	}
	if model.state, err = Decode(Limits{}, encoded); err != nil {
		model.t.Fatal(err)
	}
}

// deliver commits one command of the network; it may stay there to be repeated.
func (model *claimModel) deliver() {
	if len(model.network) == 0 {
		return
	}
	place := model.random.IntN(len(model.network))
	command := model.network[place]
	if model.random.IntN(4) > 0 {
		model.network = append(model.network[:place:place], model.network[place+1:]...)
	}
	command.At = model.now
	model.index++
	result := model.state.Apply(model.index, command)
	if command.Claim != nil {
		model.answer(*command.Claim, *result.Claim)
	}
}

func (model *claimModel) answer(claim Claim, result ClaimResult) {
	var attempt int
	_, _ = fmt.Sscan(string(claim.Attempt), &attempt)
	if result.State == ClaimDone && model.runs[claim.Key] == 0 {
		model.t.Fatalf("key %s has an answer without a run", claim.Key)
	}
	if result.State != ClaimGranted || model.attempts[attempt] != waiting {
		return
	}
	model.attempts[attempt] = ran
	model.runs[claim.Key]++
	if model.runs[claim.Key] > 1 {
		model.t.Fatalf("the call under key %s ran twice", claim.Key)
	}
	switch model.random.IntN(3) {
	case 0:
		model.record(attempt, core.Ran)
	case 1:
		model.record(attempt, core.Unknown)
	default: // the VM is lost before it records an outcome
	}
}
