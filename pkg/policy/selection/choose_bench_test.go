package selection

import "testing"

// BenchmarkChoose has 600 candidates, among which a choice may take 5 us.
func BenchmarkChoose(b *testing.B) {
	candidates := make([]Candidate, 600)
	bounds := make([]Bound, len(candidates))
	positions := make([]Position, len(candidates))
	for i := range candidates {
		candidates[i] = Candidate{Local: i%4 == 0, Others: i % 30, Slots: 24, Speed: 0.5 + float64(i%4)/2, Open: 1, Size: 0.2}
		if i%10 == 0 {
			candidates[i].Open = 0.25
		}
		bounds[i], positions[i] = candidates[i].Bound(), Position(i)
	}
	b.ReportAllocs()
	start := 0
	for b.Loop() {
		Choose(bounds, positions, start, 0.2, func(at Position) (float64, bool) { return candidates[at].Cost(), true })
		start++
	}
}
