package raft

import "slices"

// log holds the entries that follow the compacted prefix. The zero value is empty.
type log struct {
	// base is the index of the last compacted entry, and baseTerm its term.
	base     Index
	baseTerm Term
	entries  []Entry
	// stable is the last index that the caller has synced.
	stable Index
}

func (log *log) last() Index {
	return log.base + Index(len(log.entries))
}

func (log *log) lastTerm() Term {
	term, _ := log.term(log.last())
	return term
}

// term returns the term of the entry at index. It returns false if the entry is
// before base or after the last entry.
func (log *log) term(index Index) (Term, bool) {
	switch {
	case index == log.base:
		return log.baseTerm, true
	case index < log.base || index > log.last():
		return 0, false
	default:
		return log.entries[index-log.base-1].Term, true
	}
}

func (log *log) matches(index Index, term Term) bool {
	own, ok := log.term(index)
	return ok && own == term
}

// isUpToDate reports whether a log whose last entry has the given index and term is
// at least as up to date as this one, as defined by the Raft election restriction.
func (log *log) isUpToDate(index Index, term Term) bool {
	if term != log.lastTerm() {
		return term > log.lastTerm()
	}
	return index >= log.last()
}

// slice returns a copy of the entries in [from, to], limited to maxBytes of data. It
// returns at least one entry unless the range is empty.
func (log *log) slice(from, to Index, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	entries := log.entries[from-log.base-1 : to-log.base]
	size := 0
	for i, entry := range entries {
		size += len(entry.Data)
		if i > 0 && size > maxBytes {
			return slices.Clone(entries[:i])
		}
	}
	return slices.Clone(entries)
}

// append adds an entry after the last one.
func (log *log) append(entry Entry) {
	log.entries = append(log.entries, entry)
}

// truncateFrom removes the entry at index and all later entries.
func (log *log) truncateFrom(index Index) {
	kept := index - log.base - 1
	log.entries = slices.Clone(log.entries[:kept])
	log.stable = min(log.stable, index-1)
}

// compact discards all entries up to and including index.
func (log *log) compact(index Index) {
	term, ok := log.term(index)
	if !ok || index <= log.base {
		return
	}
	log.entries = slices.Clone(log.entries[index-log.base:])
	log.base, log.baseTerm = index, term
}

// reset discards all entries. The next entry has index+1.
func (log *log) reset(index Index, term Term) {
	log.base, log.baseTerm = index, term
	log.entries = nil
	log.stable = index
}
