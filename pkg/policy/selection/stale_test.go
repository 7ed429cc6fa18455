package selection

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDiscount guards against a change of what was reported while a slot is free on average, and
// against requests that are invented or lost where overloaded upstreams are evened out.
func TestDiscount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []Candidate
		requests, others, slots := 0, 0, 0
		for range rapid.IntRange(1, 8).Draw(t, "candidates") {
			candidate := Candidate{Running: rapid.IntRange(0, 3).Draw(t, "running"), Others: rapid.IntRange(0, 40).Draw(t, "others"), Slots: rapid.IntRange(1, 8).Draw(t, "slots")}
			candidates = append(candidates, candidate)
			requests += candidate.Running + candidate.Others
			others += candidate.Others
			slots += candidate.Slots
		}
		before := append([]Candidate(nil), candidates...)
		hold := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "hold"))
		overloaded := Discount(candidates, hold, rapid.Float64Range(0, 100).Draw(t, "phase"))
		if overloaded != (requests >= slots) {
			t.Fatalf("overloaded is %t with %d requests in %d slots", overloaded, requests, slots)
		}
		after := 0
		for i, candidate := range candidates {
			after += candidate.Others
			if (!overloaded || hold == 0) && candidate != before[i] {
				t.Fatalf("%v became %v", before[i], candidate)
			}
			if candidate.Others < 0 || candidate.Running != before[i].Running {
				t.Fatalf("%v became %v", before[i], candidate)
			}
		}
		if after < others-len(candidates) || after > others+len(candidates) {
			t.Fatalf("%d requests became %d", others, after)
		}
	})
}

// TestDiscountHerd guards against VMs that all choose the upstream that had the fewest requests when
// they last heard of it, long before the present ones arrived there.
func TestDiscountHerd(t *testing.T) {
	short := []Candidate{{Others: 30, Slots: 6}, {Others: 0, Slots: 6}, {Others: 6, Slots: 6}}
	Discount(short, 30*time.Millisecond, 0)
	if short[0].Others > 14 || short[1].Others < 11 {
		t.Fatalf("requests of 30 ms stay uneven: %v", short)
	}
	long := []Candidate{{Others: 30, Slots: 6}, {Others: 0, Slots: 6}, {Others: 6, Slots: 6}}
	Discount(long, 10*time.Second, 0)
	if long[0].Others < 28 || long[1].Others > 2 {
		t.Fatalf("requests of 10 s are evened out: %v", long)
	}
}

// TestDiscountOpen guards against an upstream in its start phase that gets no work while the others are
// overloaded: as many requests as at the others seem to be at its few open slots.
func TestDiscountOpen(t *testing.T) {
	candidates := []Candidate{{Others: 10, Slots: 6}, {Others: 10, Slots: 6}, {Slots: 6, Open: 0.5}}
	Discount(candidates, 30*time.Millisecond, 0)
	if start, other := candidates[2].Load(), candidates[0].Load(); start > other+1/(0.5*6) {
		t.Fatalf("the load in the start phase is %.2f, and %.2f at the others", start, other)
	}
}
