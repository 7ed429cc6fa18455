package indexheap

// None is the position of an id that is in no heap. It also stands for no id.
const None = int32(-1)

// Order compares the members of a heap and records their positions.
type Order interface {
	// Less reports whether a must be closer to the top than b.
	Less(a, b int32) bool
	// SetPosition is called with the new position of id, or with None after its removal.
	SetPosition(id, position int32)
}

// Heap is a binary heap of ids. The zero value is empty and ready for use. All
// calls for one heap must pass the same Order.
type Heap struct {
	ids []int32
}

// WithStorage returns an empty heap that uses the capacity of storage before it
// allocates.
func WithStorage(storage []int32) Heap { return Heap{ids: storage[:0]} }

// Len returns the number of members.
func (heap *Heap) Len() int { return len(heap.ids) }

// Top returns the first member, or None and false if the heap is empty.
func (heap *Heap) Top() (int32, bool) {
	if len(heap.ids) == 0 {
		return None, false
	}
	return heap.ids[0], true
}

// At returns the member at a position from 0 to Len()-1. Position 0 is the top; the
// other positions are not sorted.
func (heap *Heap) At(position int) int32 { return heap.ids[position] }

// Push adds an id that is not a member.
func (heap *Heap) Push(order Order, id int32) {
	heap.ids = append(heap.ids, id)
	heap.siftUp(order, int32(len(heap.ids)-1))
}

// Fix restores the heap order after the key of the member at a position has changed.
func (heap *Heap) Fix(order Order, position int32) {
	if !heap.siftDown(order, position) {
		heap.siftUp(order, position)
	}
}

// Remove removes the member at a position.
func (heap *Heap) Remove(order Order, position int32) {
	last := int32(len(heap.ids) - 1)
	removed := heap.ids[position]
	heap.ids[position] = heap.ids[last]
	heap.ids = heap.ids[:last]
	if position < last {
		heap.Fix(order, position)
	}
	order.SetPosition(removed, None)
}

// siftUp moves the member at a position up to its place in the heap order.
func (heap *Heap) siftUp(order Order, position int32) {
	id := heap.ids[position]
	for position > 0 {
		parent := (position - 1) / 2
		if !order.Less(id, heap.ids[parent]) {
			break
		}
		heap.set(order, position, heap.ids[parent])
		position = parent
	}
	heap.set(order, position, id)
}

// siftDown moves the member at a position down to its place in the heap order, and
// reports whether it moved.
func (heap *Heap) siftDown(order Order, position int32) bool {
	start, id, size := position, heap.ids[position], int32(len(heap.ids))
	for {
		child := 2*position + 1
		if child >= size {
			break
		}
		if child+1 < size && order.Less(heap.ids[child+1], heap.ids[child]) {
			child++
		}
		if !order.Less(heap.ids[child], id) {
			break
		}
		heap.set(order, position, heap.ids[child])
		position = child
	}
	heap.set(order, position, id)
	return position > start
}

// set stores id at a position and reports the position to order.
func (heap *Heap) set(order Order, position, id int32) {
	heap.ids[position] = id
	order.SetPosition(id, position)
}
