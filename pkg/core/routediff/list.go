package routediff

import "reflect"

// list describes a list of a route table: its name in hashes, and the key of an entry, which is
// unique in a valid table.
type list[Entry any, Key comparable] struct {
	name string
	key  func(entry *Entry) Key
}

func (list list[Entry, Key]) add(digest *Digest, entry *Entry) {
	digest.add(hashEntry(list.name, entry))
}

func (list list[Entry, Key]) remove(digest *Digest, entry *Entry) {
	digest.remove(hashEntry(list.name, entry))
}

// compare returns the entries of after that before lacks or has otherwise, and the keys that after
// lacks. It updates the digest of before to that of after.
func (list list[Entry, Key]) compare(before, after []Entry, digest *Digest) (changed []Entry, removed []Key) {
	before, after = withoutCommonEnds(before, after)
	positions := make(map[Key]int, len(before))
	for i := range before {
		positions[list.key(&before[i])] = i
	}
	for i := range after {
		key := list.key(&after[i])
		at, known := positions[key]
		delete(positions, key)
		if known && reflect.DeepEqual(&before[at], &after[i]) {
			continue
		}
		if known {
			list.remove(digest, &before[at])
		}
		list.add(digest, &after[i])
		changed = append(changed, after[i])
	}
	for i := range before {
		key := list.key(&before[i])
		if at, left := positions[key]; left && at == i {
			list.remove(digest, &before[i])
			removed = append(removed, key)
		}
	}
	return changed, removed
}

// withoutCommonEnds returns the parts of two lists between the equal entries at their ends. Most
// changes concern a few entries of a long list, and leave the others in their places.
func withoutCommonEnds[Entry any](before, after []Entry) (restBefore, restAfter []Entry) {
	for len(before) > 0 && len(after) > 0 && reflect.DeepEqual(&before[0], &after[0]) {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && reflect.DeepEqual(&before[len(before)-1], &after[len(after)-1]) {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	return before, after
}

// apply returns the entries with the changed ones in place of those with their keys, or at the end,
// and without the removed ones. It updates the digest and does not modify the given entries.
func (list list[Entry, Key]) apply(entries, changed []Entry, removed []Key, digest *Digest) []Entry {
	if len(changed) == 0 && len(removed) == 0 {
		return entries
	}
	find := list.finder(changed, removed)
	next := append(make([]Entry, 0, len(entries)+len(changed)), entries...)
	replaced := make([]bool, len(changed))
	kept := 0
	for i := range next {
		at := find(list.key(&next[i]))
		if at != unaffected {
			list.remove(digest, &next[i])
		}
		switch {
		case at >= 0:
			list.add(digest, &changed[at])
			next[kept] = changed[at]
			replaced[at] = true
		case at == isRemoved:
			continue
		case kept < i:
			next[kept] = next[i]
		}
		kept++
	}
	clear(next[kept:])
	next = next[:kept]
	for i := range changed {
		if !replaced[i] {
			list.add(digest, &changed[i])
			next = append(next, changed[i])
		}
	}
	return next
}

// What a finder returns for a key that is not changed.
const (
	unaffected = -1
	isRemoved  = -2
)

// fewKeys is the number of keys up to which comparing them all takes less time than a map.
const fewKeys = 8

// finder returns a function that returns the position of a key among the changed entries,
// isRemoved, or unaffected.
func (list list[Entry, Key]) finder(changed []Entry, removed []Key) func(Key) int {
	keys := make([]Key, 0, len(changed)+len(removed))
	for i := range changed {
		keys = append(keys, list.key(&changed[i]))
	}
	keys = append(keys, removed...)
	position := func(at int) int {
		if at >= len(changed) {
			return isRemoved
		}
		return at
	}
	if len(keys) <= fewKeys {
		return func(key Key) int {
			for at := range keys {
				if keys[at] == key {
					return position(at)
				}
			}
			return unaffected
		}
	}
	positions := make(map[Key]int, len(keys))
	for at, key := range keys {
		positions[key] = position(at)
	}
	return func(key Key) int {
		if at, found := positions[key]; found {
			return at
		}
		return unaffected
	}
}

// merge adds later changes of a list to earlier ones.
func (list list[Entry, Key]) merge(changed, laterChanged []Entry, removed, laterRemoved []Key) ([]Entry, []Key) {
	if len(changed) == 0 && len(removed) == 0 {
		return laterChanged, laterRemoved
	}
	later := make(map[Key]bool, len(laterChanged)+len(laterRemoved))
	for i := range laterChanged {
		later[list.key(&laterChanged[i])] = true
	}
	for _, key := range laterRemoved {
		later[key] = true
	}
	var mergedChanged []Entry
	var mergedRemoved []Key
	for i := range changed {
		if !later[list.key(&changed[i])] {
			mergedChanged = append(mergedChanged, changed[i])
		}
	}
	for _, key := range removed {
		if !later[key] {
			mergedRemoved = append(mergedRemoved, key)
		}
	}
	return append(mergedChanged, laterChanged...), append(mergedRemoved, laterRemoved...)
}
