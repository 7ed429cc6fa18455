package policy

import (
	"container/heap"
	"math"
	"time"
)

// clairvoyantWait returns a lower bound on the total wait for adapters of every
// policy that loads an adapter only after a call for it has arrived, even one
// that knows all future calls.
//
// Proof: relax the problem to one pool of engines*slots slots instead of separate slots
// per engine, an unlimited store, loads that never fail, engines that never restart and
// slots that are never pinned; none of this increases the minimum wait. Merge the calls of one
// adapter that arrive within two load times of the first into one reference. If no
// call of a reference waits, the adapter was resident when its first call arrived.
// A load caused by a waiting call makes that call wait at least one load time. If
// the load is delayed and serves the calls of k references, these begin at least
// two load times apart, so the i-th of them waits at least 2(k-i) load times and all
// of them together at least k(k-1), which is at least k for k > 1. So the total wait
// is at least one load time for each reference that did not find its adapter
// resident. The minimum number of these misses for a pool of that size is that of
// Belady's algorithm, which keeps the adapters whose next reference is nearest and
// may bypass the pool for the adapter just used.
//
// The bound does not cover prefetching: a policy that knows the future and prefetches
// could reach a wait of zero.
func clairvoyantWait(requests []request, slots int, load time.Duration) time.Duration {
	references := mergeReferences(requests, 2*load)
	next := nextUses(references)
	cache := nextUseHeap{index: make(map[int]int)}
	misses := 0
	for i, adapter := range references {
		if at, resident := cache.index[adapter]; resident {
			cache.items[at].next = next[i]
			heap.Fix(&cache, at)
			continue
		}
		misses++
		if next[i] == math.MaxInt {
			continue
		}
		heap.Push(&cache, cachedAdapter{adapter, next[i]})
		if cache.Len() > slots {
			heap.Pop(&cache)
		}
	}
	return time.Duration(misses) * load
}

// mergeReferences returns the adapter of each reference in order. Requests for one
// adapter within the window after the first of them form one reference.
func mergeReferences(requests []request, window time.Duration) []int {
	windowStart := make(map[int]time.Duration)
	var references []int
	for _, request := range requests {
		if start, seen := windowStart[request.adapter]; seen && request.at < start+window {
			continue
		}
		windowStart[request.adapter] = request.at
		references = append(references, request.adapter)
	}
	return references
}

// nextUses returns, for each reference, the index of the next reference to the same
// adapter, or MaxInt if there is none.
func nextUses(references []int) []int {
	next := make([]int, len(references))
	later := make(map[int]int)
	for i := len(references) - 1; i >= 0; i-- {
		next[i] = math.MaxInt
		if at, ok := later[references[i]]; ok {
			next[i] = at
		}
		later[references[i]] = i
	}
	return next
}

// cachedAdapter is a resident adapter and the index of its next reference.
type cachedAdapter struct{ adapter, next int }

// nextUseHeap is a heap of resident adapters with the one whose next reference is
// farthest in the future on top.
type nextUseHeap struct {
	items []cachedAdapter
	index map[int]int
}

func (cache *nextUseHeap) Len() int { return len(cache.items) }

func (cache *nextUseHeap) Less(a, b int) bool { return cache.items[a].next > cache.items[b].next }

func (cache *nextUseHeap) Swap(a, b int) {
	cache.items[a], cache.items[b] = cache.items[b], cache.items[a]
	cache.index[cache.items[a].adapter], cache.index[cache.items[b].adapter] = a, b
}

func (cache *nextUseHeap) Push(added any) {
	item := added.(cachedAdapter)
	cache.index[item.adapter] = len(cache.items)
	cache.items = append(cache.items, item)
}

func (cache *nextUseHeap) Pop() any {
	last := len(cache.items) - 1
	item := cache.items[last]
	cache.items = cache.items[:last]
	delete(cache.index, item.adapter)
	return item
}
