package selection

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// engine is a model of an engine that reads one prompt after another, in the order of arrival.
type engine struct {
	// readUntil is the time at which it has read all prompts, and ends holds the times at which
	// its requests end.
	readUntil time.Duration
	ends      []time.Duration
}

// running returns the number of requests that have not ended.
func (engine *engine) running(now time.Duration) int {
	count := 0
	for _, end := range engine.ends {
		if end > now {
			count++
		}
	}
	return count
}

const (
	modelRate      = 38_000 // tokens a second
	modelObjective = 500 * time.Millisecond
	modelDecoding  = 800 * time.Millisecond
)

// lateShare plays a minute of short prompts with long ones between them, of which each can be
// served by three engines, and returns the share of short ones that miss the objective.
func lateShare(countPrompts bool) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	engines := make([]engine, 20)
	short, late := 0, 0
	var rate ReadingRate
	for now := time.Duration(0); now < time.Minute; now += 4 * time.Millisecond {
		prompt := core.Tokens(650)
		if random.IntN(36) == 0 {
			prompt = 9_000
		}
		var candidates []Candidate
		var bounds []Bound
		holders := random.Perm(len(engines))[:3]
		for _, at := range holders {
			candidate := Candidate{Local: true, Running: engines[at].running(now), Slots: 24}
			if countPrompts {
				pending := core.Tokens(max(0, engines[at].readUntil-now).Seconds() * modelRate)
				candidate.Reading, candidate.Objective = rate.Time(pending), modelObjective
			}
			candidates = append(candidates, candidate)
			bounds = append(bounds, candidate.Bound())
		}
		chosen, _ := Choose(bounds, []Position{0, 1, 2}, random.IntN(3), 0, func(at Position) (float64, bool) { return candidates[at].Cost(), true })
		engine := &engines[holders[chosen]]
		alone := engine.readUntil <= now
		engine.readUntil = max(engine.readUntil, now) + time.Duration(float64(prompt)/modelRate*float64(time.Second))
		engine.ends = append(engine.ends, engine.readUntil+modelDecoding)
		if alone {
			rate.Observe(prompt, engine.readUntil-now)
		}
		if prompt < observedPrompt {
			short++
			if engine.readUntil-now > modelObjective/2 {
				late++
			}
		}
	}
	return float64(late) / float64(short)
}

// TestShortPromptsBesideLongOnes guards against short prompts that wait behind long ones at an
// engine while another one is free.
func TestShortPromptsBesideLongOnes(t *testing.T) {
	with, without := lateShare(true), lateShare(false)
	t.Logf("share of short prompts that wait for over half of their objective: %.4f, without the prompts in the cost %.4f", with, without)
	if with > 0.005 {
		t.Errorf("%.4f of the short prompts wait for over half of their objective", with)
	}
	if without < with+0.002 {
		t.Errorf("the prompts in the cost make no difference: %.4f without them, %.4f with them", without, with)
	}
}

// TestReadingRate guards against a rate that follows kept prompts, which are not read, or
// answers that never come.
func TestReadingRate(t *testing.T) {
	var rate ReadingRate
	if got := rate.Time(defaultReadingRate); got != time.Second {
		t.Errorf("the unobserved rate reads %d tokens in %v", defaultReadingRate, got)
	}
	rate.Observe(100, time.Second)
	rate.Observe(10_000, 0)
	if rate.tokensPerSecond != 0 {
		t.Errorf("a rate of %v was observed", rate.tokensPerSecond)
	}
	for range 100 {
		rate.Observe(10_000, time.Microsecond)
	}
	if rate.value() > maxReadingRate {
		t.Errorf("the rate is %v", rate.value())
	}
	for range 100 {
		rate.Observe(10_000, time.Hour)
	}
	if got := rate.Time(10_000); got > 11*time.Second {
		t.Errorf("10,000 tokens take %v", got)
	}
}
