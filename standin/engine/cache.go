package engine

import (
	"container/list"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// prefixCache is an LRU cache of prefix blocks. It is guarded by the lock of the
// engine.
type prefixCache struct {
	// blocks is the capacity; zero disables the cache.
	blocks  int
	order   *list.List
	entries map[block]*list.Element
	// pending holds the events that have not been published yet.
	pending  []CacheEvent
	sequence uint64
}

// CacheEvent reports that a prefix was added to the cache or evicted from it.
// Sequence numbers are consecutive, so that a receiver can detect lost events.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Added    bool
}

func newPrefixCache(blocks int) *prefixCache {
	return &prefixCache{blocks: blocks, order: list.New(), entries: make(map[block]*list.Element)}
}

// block is the key of a cached block: a prefix hash and an adapter version.
type block struct {
	av     core.AdapterVersion
	prefix uint64
}

// use returns the number of blocks that were not cached, adds them to the cache,
// and marks the others as recently used.
func (cache *prefixCache) use(av core.AdapterVersion, prefixes []uint64) (missing int) {
	for _, prefix := range prefixes {
		wanted := block{av, prefix}
		if element, ok := cache.entries[wanted]; ok {
			cache.order.MoveToFront(element)
			continue
		}
		missing++
		cache.add(wanted)
	}
	return missing
}

func (cache *prefixCache) add(added block) {
	if cache.blocks == 0 {
		return
	}
	if cache.order.Len() >= cache.blocks {
		oldest := cache.order.Remove(cache.order.Back()).(block)
		delete(cache.entries, oldest)
		cache.publish(oldest.prefix, false)
	}
	cache.entries[added] = cache.order.PushFront(added)
	cache.publish(added.prefix, true)
}

func (cache *prefixCache) publish(prefix uint64, added bool) {
	cache.sequence++
	cache.pending = append(cache.pending, CacheEvent{Sequence: cache.sequence, Prefix: prefix, Added: added})
}

// takeEvents returns the unpublished events and removes them from the cache.
func (cache *prefixCache) takeEvents() []CacheEvent {
	events := cache.pending
	cache.pending = nil
	return events
}
