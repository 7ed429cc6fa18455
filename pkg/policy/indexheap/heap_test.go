package indexheap_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/policy/indexheap"
)

type keyOrder struct {
	values    []int
	positions []int32
}

func (keys *keyOrder) Less(a, b int32) bool { return keys.values[a] < keys.values[b] }

func (keys *keyOrder) SetPosition(id, position int32) { keys.positions[id] = position }

// TestHeap guards against a member that is lost or out of order after changes and
// removals at any position, and against a position that is not reported.
func TestHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := &keyOrder{values: rapid.SliceOfN(rapid.IntRange(0, 20), 1, 30).Draw(t, "keys")}
		var heap indexheap.Heap
		for id := range order.values {
			order.positions = append(order.positions, indexheap.None)
			heap.Push(order, int32(id))
		}
		for range rapid.IntRange(0, 30).Draw(t, "changes") {
			id := rapid.IntRange(0, len(order.values)-1).Draw(t, "id")
			if order.positions[id] == indexheap.None {
				continue
			}
			if rapid.Bool().Draw(t, "remove") {
				heap.Remove(order, order.positions[id])
				continue
			}
			order.values[id] = rapid.IntRange(0, 20).Draw(t, "key")
			heap.Fix(order, order.positions[id])
		}
		drainHeap(t, &heap, order)
	})
}

func drainHeap(t *rapid.T, heap *indexheap.Heap, order *keyOrder) {
	var want, got []int
	for id, position := range order.positions {
		if position != indexheap.None {
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
