package routing

// CacheEvent tells that an engine added a prompt prefix to its cache or dropped it.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Added    bool
}

// prefixCells bounds the prefixes remembered for one engine. A new prefix takes
// the place of the one with the same low bits.
const prefixCells = 1024

// Prefixes is what is known about the prefix cache of one engine. Events may come
// late and with gaps: an older event never overrides a newer one for the same
// prefix, and what was known before a gap counts half. The zero value is empty.
type Prefixes struct {
	cells []prefixCell
	last  uint64
	gaps  uint32
}

type prefixCell struct {
	prefix   uint64
	sequence uint64
	gaps     uint32
	present  bool
}

// Apply takes in events in the order in which they came.
func (prefixes *Prefixes) Apply(events []CacheEvent) {
	if prefixes.cells == nil {
		prefixes.cells = make([]prefixCell, prefixCells)
	}
	for _, event := range events {
		prefixes.apply(event)
	}
}

func (prefixes *Prefixes) apply(event CacheEvent) {
	if event.Sequence > prefixes.last+1 && prefixes.last > 0 {
		prefixes.gaps++
	}
	prefixes.last = max(prefixes.last, event.Sequence)
	cell := &prefixes.cells[event.Prefix%prefixCells]
	if cell.sequence >= event.Sequence {
		return
	}
	*cell = prefixCell{prefix: event.Prefix, sequence: event.Sequence, gaps: prefixes.gaps, present: event.Added}
}

// Matched returns the expected part of a prompt that is cached, from 0 to 1, for
// the hashes of its prefixes with the shortest first.
func (prefixes *Prefixes) Matched(hashes []uint64) float64 {
	if prefixes.cells == nil {
		return 0
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		cell := &prefixes.cells[hashes[i]%prefixCells]
		if cell.present && cell.prefix == hashes[i] {
			return float64(i+1) / float64(len(hashes)) * prefixes.trust(cell)
		}
	}
	return 0
}

// Reset forgets everything, for an engine that restarted.
func (prefixes *Prefixes) Reset() { *prefixes = Prefixes{} }

func (prefixes *Prefixes) trust(cell *prefixCell) float64 {
	return 1 / float64(uint64(1)<<min(prefixes.gaps-cell.gaps, 16))
}
