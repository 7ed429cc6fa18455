package indexheap_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
)

type keys struct {
	values []int
	places []int32
}

func (keys *keys) Less(a, b int32) bool { return keys.values[a] < keys.values[b] }

func (keys *keys) Moved(id, at int32) { keys.places[id] = at }

// TestHeap guards against a member that is lost or out of order after changes and
// removals in the middle, and against a position that is not told.
func TestHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := &keys{values: rapid.SliceOfN(rapid.IntRange(0, 20), 1, 30).Draw(t, "keys")}
		var heap indexheap.Heap
		for id := range order.values {
			order.places = append(order.places, indexheap.None)
			heap.Push(order, int32(id))
		}
		for range rapid.IntRange(0, 30).Draw(t, "changes") {
			id := rapid.IntRange(0, len(order.values)-1).Draw(t, "id")
			if order.places[id] == indexheap.None {
				continue
			}
			if rapid.Bool().Draw(t, "remove") {
				heap.Remove(order, order.places[id])
				continue
			}
			order.values[id] = rapid.IntRange(0, 20).Draw(t, "key")
			heap.Fix(order, order.places[id])
		}
		drain(t, &heap, order)
	})
}

func drain(t *rapid.T, heap *indexheap.Heap, order *keys) {
	var want, got []int
	for id, at := range order.places {
		if at != indexheap.None {
			want = append(want, order.values[id])
		}
	}
	slices.Sort(want)
	for id, ok := heap.Top(); ok; id, ok = heap.Top() {
		got = append(got, order.values[id])
		heap.Remove(order, 0)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}
