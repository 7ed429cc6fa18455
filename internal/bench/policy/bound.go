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
// Why it is a bound: give the policy one pool of engines*slots places instead of
// many small ones, a store without a limit, loads that never fail, engines that
// never restart and places that are never pinned; all of this can only help. Merge
// the calls of one adapter that arrive within two load times of the first into
// one reference. A reference none of whose calls waits found its adapter resident
// when its first call arrived. Each load that a waiting call caused makes that
// call wait at least one load time. If the load is held back and serves the calls
// of k references, these begin at least two load times apart, so the i-th of them
// waits at least 2(k-i) load times and all of them together at least k(k-1), which
// is at least k for k > 1. So the total wait is at least one load time for each
// reference that did not find its adapter resident, and the least number of those
// with a pool of that size is that of Belady's rule, which keeps the adapters
// whose next reference is nearest and may leave out the adapter just used.
//
// Prefetching is not covered: a policy that knows the future and prefetches could
// reach zero.
func clairvoyantWait(requests []request, places int, load time.Duration) time.Duration {
	references := merge(requests, 2*load)
	next := nextUses(references)
	cache := farthest{index: make(map[int]int)}
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
		heap.Push(&cache, use{adapter, next[i]})
		if cache.Len() > places {
			heap.Pop(&cache)
		}
	}
	return time.Duration(misses) * load
}

// merge returns the adapters of the references in order.
func merge(requests []request, window time.Duration) []int {
	first := make(map[int]time.Duration)
	var references []int
	for _, request := range requests {
		if began, seen := first[request.adapter]; seen && request.at < began+window {
			continue
		}
		first[request.adapter] = request.at
		references = append(references, request.adapter)
	}
	return references
}

// nextUses returns, for each reference, the position of the next one to the same
// adapter, or MaxInt.
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

type use struct{ adapter, next int }

// farthest is a heap of resident adapters, the one used last on top.
type farthest struct {
	items []use
	index map[int]int
}

func (cache *farthest) Len() int { return len(cache.items) }

func (cache *farthest) Less(a, b int) bool { return cache.items[a].next > cache.items[b].next }

func (cache *farthest) Swap(a, b int) {
	cache.items[a], cache.items[b] = cache.items[b], cache.items[a]
	cache.index[cache.items[a].adapter], cache.index[cache.items[b].adapter] = a, b
}

func (cache *farthest) Push(added any) {
	item := added.(use)
	cache.index[item.adapter] = len(cache.items)
	cache.items = append(cache.items, item)
}

func (cache *farthest) Pop() any {
	last := len(cache.items) - 1
	item := cache.items[last]
	cache.items = cache.items[:last]
	delete(cache.index, item.adapter)
	return item
}
