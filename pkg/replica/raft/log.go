package raft

import "slices"

// log holds the entries behind the compacted part. The zero value is empty.
type log struct {
	// base is the index before the first entry, baseTerm its term.
	base     Index
	baseTerm Term
	entries  []Entry
	// stable is the last index that the user has synced.
	stable Index
}

func (log *log) last() Index {
	return log.base + Index(len(log.entries))
}

func (log *log) lastTerm() Term {
	term, _ := log.term(log.last())
	return term
}

// term returns the term of an entry, and false if the log does not hold it.
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

// isCurrent reports whether a log that ends with the given entry holds at least
// as much as this one.
func (log *log) isCurrent(index Index, term Term) bool {
	if term != log.lastTerm() {
		return term > log.lastTerm()
	}
	return index >= log.last()
}

// between returns the entries in [from, to], at most about maxBytes of them but at
// least one. The result is not changed by later appends.
func (log *log) between(from, to Index, maxBytes int) []Entry {
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

// add appends an entry behind the last one.
func (log *log) add(entry Entry) {
	log.entries = append(log.entries, entry)
}

// cut removes all entries from index on.
func (log *log) cut(index Index) {
	kept := index - log.base - 1
	log.entries = slices.Clone(log.entries[:kept])
	log.stable = min(log.stable, index-1)
}

// compact forgets all entries up to index.
func (log *log) compact(index Index) {
	term, ok := log.term(index)
	if !ok || index <= log.base {
		return
	}
	log.entries = slices.Clone(log.entries[index-log.base:])
	log.base, log.baseTerm = index, term
}

// reset forgets all entries and starts behind index.
func (log *log) reset(index Index, term Term) {
	log.base, log.baseTerm = index, term
	log.entries = nil
	log.stable = index
}
