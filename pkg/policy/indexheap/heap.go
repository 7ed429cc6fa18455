package indexheap

// None is the position of an id that is in no heap.
const None = int32(-1)

// Order compares the members of a heap and learns where each of them stands.
type Order interface {
	// Less reports whether a stands before b.
	Less(a, b int32) bool
	// Moved tells the position of id, or None after its removal.
	Moved(id, at int32)
}

// Heap is a binary heap of ids. The zero value is empty and ready for use. All
// calls for one heap must pass the same order.
type Heap struct {
	ids []int32
}

// Over returns an empty heap that uses the capacity of storage before it allocates.
func Over(storage []int32) Heap { return Heap{ids: storage[:0]} }

// Len returns the number of members.
func (heap *Heap) Len() int { return len(heap.ids) }

// Top returns the first member, and false if the heap is empty.
func (heap *Heap) Top() (int32, bool) {
	if len(heap.ids) == 0 {
		return None, false
	}
	return heap.ids[0], true
}

// At returns the member at a position, which must be below Len. Positions other
// than 0 follow no full order.
func (heap *Heap) At(position int) int32 { return heap.ids[position] }

// Push adds an id that is not a member.
func (heap *Heap) Push(order Order, id int32) {
	heap.ids = append(heap.ids, id)
	heap.up(order, int32(len(heap.ids)-1))
}

// Fix restores the order after the key of the member at a position changed.
func (heap *Heap) Fix(order Order, at int32) {
	if !heap.down(order, at) {
		heap.up(order, at)
	}
}

// Remove takes out the member at a position.
func (heap *Heap) Remove(order Order, at int32) {
	last := int32(len(heap.ids) - 1)
	gone := heap.ids[at]
	heap.ids[at] = heap.ids[last]
	heap.ids = heap.ids[:last]
	if at < last {
		heap.Fix(order, at)
	}
	order.Moved(gone, None)
}

func (heap *Heap) up(order Order, at int32) {
	id := heap.ids[at]
	for at > 0 {
		parent := (at - 1) / 2
		if !order.Less(id, heap.ids[parent]) {
			break
		}
		heap.place(order, at, heap.ids[parent])
		at = parent
	}
	heap.place(order, at, id)
}

func (heap *Heap) down(order Order, at int32) bool {
	start, id, size := at, heap.ids[at], int32(len(heap.ids))
	for {
		child := 2*at + 1
		if child >= size {
			break
		}
		if child+1 < size && order.Less(heap.ids[child+1], heap.ids[child]) {
			child++
		}
		if !order.Less(heap.ids[child], id) {
			break
		}
		heap.place(order, at, heap.ids[child])
		at = child
	}
	heap.place(order, at, id)
	return at > start
}

func (heap *Heap) place(order Order, at, id int32) {
	heap.ids[at] = id
	order.Moved(id, at)
}
