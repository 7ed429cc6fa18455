package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// attemptState is the state of an attempt as its entry VM knows it.
type attemptState int

const (
	pending attemptState = iota
	ran
	withdrawn
)

// claimModel simulates entry VMs that claim keys over a network that delays, duplicates
// and reorders their commands.
type claimModel struct {
	t        *rapid.T
	random   *rand.Rand
	state    *State
	index    uint64
	now      int64
	attempts []attemptState
	keys     []core.IdempotencyKey
	inFlight []Command
	// snapshot is a view of an earlier state, and snapshotSize the size of its encoding at
	// that time.
	snapshot     Snapshot
	snapshotSize int
	runs         map[core.IdempotencyKey]int
}

// TestAtMostOnce checks that a call runs at most once per key, and that no answer is
// returned for a call that did not run, when commands are lost, duplicated or delayed
// and the state is restored from snapshots.
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
		model.withdraw()
	case 4:
		model.restart()
	default:
		model.deliver()
	}
}

func (model *claimModel) claim() {
	attempt := len(model.attempts)
	key := core.IdempotencyKey(fmt.Sprint(model.random.IntN(3)))
	model.attempts = append(model.attempts, pending)
	model.keys = append(model.keys, key)
	model.inFlight = append(model.inFlight, Command{Claim: &Claim{
		Key: key, Content: "call", Attempt: core.AttemptID(fmt.Sprint(attempt)), Holder: core.VMID(fmt.Sprint(model.random.IntN(2))),
		HolderIncarnation: core.Incarnation(fmt.Sprint(model.random.IntN(2))), HoldMillis: model.random.Int64N(200),
	}})
}

// withdraw records NotRun for a pending attempt.
func (model *claimModel) withdraw() {
	if len(model.attempts) == 0 {
		return
	}
	attempt := model.random.IntN(len(model.attempts))
	if model.attempts[attempt] != pending {
		return
	}
	model.attempts[attempt] = withdrawn
	model.record(attempt, core.NotRun)
}

func (model *claimModel) record(attempt int, outcome core.Outcome) {
	record := &Record{Key: model.keys[attempt], Attempt: core.AttemptID(fmt.Sprint(attempt)), Outcome: outcome}
	if outcome == core.Ran {
		record.Answer = &Answer{Status: 200}
	}
	model.inFlight = append(model.inFlight, Command{Record: record})
}

// restart takes a snapshot of the state and in half of the cases replaces it by its decoded
// encoding. It also checks that the previous snapshot still has the same size.
func (model *claimModel) restart() {
	if again, err := model.snapshot.Encode(); err != nil || model.snapshotSize > 0 && len(again) != model.snapshotSize {
		model.t.Fatalf("encoding of a snapshot changed from %d to %d bytes: %v", model.snapshotSize, len(again), err)
	}
	model.snapshot = model.state.Snapshot()
	encoded, err := model.snapshot.Encode()
	if err != nil {
		model.t.Fatal(err)
	}
	model.snapshotSize = len(encoded)
	if model.random.IntN(2) == 0 {
		return // later commands modify the state from which the view was taken
	}
	if model.state, err = Decode(Limits{}, encoded); err != nil {
		model.t.Fatal(err)
	}
}

// deliver applies one command in flight, which may stay in flight to be delivered
// again.
func (model *claimModel) deliver() {
	if len(model.inFlight) == 0 {
		return
	}
	position := model.random.IntN(len(model.inFlight))
	command := model.inFlight[position]
	if model.random.IntN(4) > 0 {
		model.inFlight = append(model.inFlight[:position:position], model.inFlight[position+1:]...)
	}
	command.At = model.now
	model.index++
	result := model.state.Apply(model.index, command)
	if command.Claim != nil {
		model.checkResult(*command.Claim, *result.Claim)
	}
}

func (model *claimModel) checkResult(claim Claim, result ClaimResult) {
	var attempt int
	_, _ = fmt.Sscan(string(claim.Attempt), &attempt)
	if result.State == ClaimDone && model.runs[claim.Key] == 0 {
		model.t.Fatalf("key %s has a recorded answer but its call did not run", claim.Key)
	}
	if result.State != ClaimGranted || model.attempts[attempt] != pending {
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
	default: // the VM fails before it records an outcome
	}
}
