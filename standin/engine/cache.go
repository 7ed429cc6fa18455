package engine

import (
	"container/list"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// prefixCache holds prefix blocks in limited memory and drops the least recently
// used one. The engine's lock guards it.
type prefixCache struct {
	blocks  int
	order   *list.List
	entries map[block]*list.Element
	// pending holds the events that were not published yet.
	pending  []CacheEvent
	sequence uint64
}

// CacheEvent states that a prefix was added to or dropped from the cache.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Added    bool
}

func newPrefixCache(blocks int) *prefixCache {
	return &prefixCache{blocks: blocks, order: list.New(), entries: make(map[block]*list.Element)}
}

// block is one block of the cache: a prefix under one adapter version.
type block struct {
	av     core.AdapterVersion
	prefix uint64
}

// use returns the number of blocks that were not cached, and caches them.
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

// take returns the unpublished events and forgets them.
func (cache *prefixCache) take() []CacheEvent {
	events := cache.pending
	cache.pending = nil
	return events
}
