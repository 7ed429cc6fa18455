package routing

// CacheEvent states that an engine added a prompt prefix to its cache or evicted it.
// Sequence numbers the events of the engine, and Prefix is the hash of the prefix.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Added    bool
}

// prefixSlots is the number of prefixes stored for one engine. A prefix is stored in the
// slot given by the low bits of its hash and replaces the previous one there.
const prefixSlots = 1024

// PrefixCache tracks the content of the prefix cache of one engine. Events may arrive late
// and with gaps in their sequence. An older event never overrides a newer one in the same
// slot, and each gap halves the confidence in all entries stored before it. The zero value
// is empty.
type PrefixCache struct {
	slots        []prefixSlot
	lastSequence uint64
	gaps         uint32
}

type prefixSlot struct {
	prefix   uint64
	sequence uint64
	gaps     uint32
	present  bool
}

// Apply records events in the order in which they arrived.
func (cache *PrefixCache) Apply(events []CacheEvent) {
	if cache.slots == nil {
		cache.slots = make([]prefixSlot, prefixSlots)
	}
	for _, event := range events {
		cache.apply(event)
	}
}

func (cache *PrefixCache) apply(event CacheEvent) {
	if event.Sequence > cache.lastSequence+1 && cache.lastSequence > 0 {
		cache.gaps++
	}
	cache.lastSequence = max(cache.lastSequence, event.Sequence)
	slot := &cache.slots[event.Prefix%prefixSlots]
	if slot.sequence >= event.Sequence {
		return
	}
	*slot = prefixSlot{prefix: event.Prefix, sequence: event.Sequence, gaps: cache.gaps, present: event.Added}
}

// Matched returns the expected fraction, from 0 to 1, of a prompt that is cached, given
// the hashes of its prefixes, shortest first. It is the fraction of the longest prefix
// known to be cached, multiplied by the confidence in that entry.
func (cache *PrefixCache) Matched(hashes []uint64) float64 {
	if cache.slots == nil {
		return 0
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		slot := &cache.slots[hashes[i]%prefixSlots]
		if slot.present && slot.prefix == hashes[i] {
			return float64(i+1) / float64(len(hashes)) * cache.confidence(slot)
		}
	}
	return 0
}

// Reset removes all entries. It must be called when the engine has restarted.
func (cache *PrefixCache) Reset() { *cache = PrefixCache{} }

// confidence returns 1, halved for each gap after the entry was stored, but at most 16
// times.
func (cache *PrefixCache) confidence(slot *prefixSlot) float64 {
	return 1 / float64(uint64(1)<<min(cache.gaps-slot.gaps, 16))
}
