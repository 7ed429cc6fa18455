package selection

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against choosing a failing, silent, slow or full upstream, one that has just
// started, or one in another zone, although a better one is available.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var candidates []Candidate
			var names []string
			for line := range strings.Lines(data.Input) {
				fields := strings.Fields(line)
				names = append(names, fields[0])
				candidates = append(candidates, parseCandidate(fields[1:]))
			}
			index, cost := choose(candidates, 0)
			if index < 0 {
				return "none\n"
			}
			return fmt.Sprintf("%s cost=%.2f\n", names[index], cost)
		})
	})
}

// choose chooses among all candidates.
func choose(candidates []Candidate, start int) (Position, float64) {
	var bounds []Bound
	var positions []Position
	for i, candidate := range candidates {
		bounds = append(bounds, candidate.Bound())
		positions = append(positions, Position(i))
	}
	return Choose(bounds, positions, start, size(candidates), func(at Position) (float64, bool) { return candidates[at].Cost(), true })
}

// size returns the size of the request, which all candidates state.
func size(candidates []Candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	return candidates[0].Size
}

func parseCandidate(fields []string) Candidate {
	candidate := Candidate{Slots: 10}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "local":
			candidate.Local = true
		case "limited":
			candidate.Limited = true
		case "silent":
			candidate.Silent = true
		case "running":
			candidate.Running = int(number)
		case "others":
			candidate.Others = int(number)
		case "slots":
			candidate.Slots = int(number)
		case "faults":
			candidate.Faults = number
		case "speed":
			candidate.Speed = number
		case "open":
			candidate.Open = number
		case "size":
			candidate.Size = number
		}
	}
	return candidate
}
