package audit

import (
	"fmt"
	"maps"
	"slices"
)

// maxMissing bounds the missing records that are looked for one by one.
const maxMissing = 1 << 16

// chainCheck verifies the chain of one folder.
type chainCheck struct {
	folder   string
	head     head
	hasHead  bool
	findings []Finding
	begun    bool
	writer   string
	// expected is the index of the next record and last the link before it.
	expected Index
	last     Hash
	// retained is set if older files were removed.
	retained bool
	// hashes holds the links of the current file.
	hashes map[Index]Hash
	// missing holds the indexes that were skipped, and waiting the entries whose
	// predecessor is among them.
	missing map[Index]bool
	waiting map[Index]Entry
	// blockOffset and blockFindings belong to the block that is being read.
	blockOffset   int64
	blockFindings int
}

// checkChain verifies a folder and hands every readable entry to visit.
func checkChain(folder string, visit func(Entry)) (*chainCheck, error) {
	head, found, err := readHead(folder) // read before the files, which may grow meanwhile
	if err != nil {
		return nil, err
	}
	check := &chainCheck{
		folder: folder, head: head, hasHead: found,
		hashes: make(map[Index]Hash), missing: make(map[Index]bool), waiting: make(map[Index]Entry),
	}
	files, err := Files(folder)
	if err != nil {
		return nil, err
	}
	for _, path := range files {
		if err := check.file(path, visit); err != nil {
			return nil, err
		}
	}
	check.end()
	return check, nil
}

func (check *chainCheck) file(path string, visit func(Entry)) error {
	var failed error
	begin := func(header fileHeader) { check.begin(path, header) }
	readFile(path, begin, func(entry Entry, err error) bool {
		if err != nil {
			failed = err
			return false
		}
		check.entry(entry)
		if entry.Problem == "" {
			visit(entry)
		}
		return true
	})
	return failed
}

func (check *chainCheck) add(finding Finding) {
	check.findings = append(check.findings, finding)
}

func (check *chainCheck) begin(path string, header fileHeader) {
	check.blockOffset = -1
	place := Entry{File: path, Writer: header.Writer, Index: header.First}
	if !check.begun {
		check.begun, check.expected, check.last = true, header.First, Hash(header.Previous)
		check.writer, check.retained = header.Writer, header.First > 1
		if check.hasHead && header.First > check.head.First {
			check.add(found(KindDropped, place, "records %d to %d: their files are missing", check.head.First, header.First-1))
		}
		return
	}
	if header.Writer != check.writer {
		check.add(found(KindDamaged, place, "the file belongs to chain %s, not to %s", header.Writer, check.writer))
	}
	if header.First > check.expected {
		check.skip(place, header.First)
	} else if header.First == check.expected && Hash(header.Previous) != check.last {
		check.add(found(KindAltered, place, "the file does not continue the one before it"))
	}
	last, ok := check.hashes[check.expected-1]
	clear(check.hashes)
	if ok {
		check.hashes[check.expected-1] = last
	}
	check.last = Hash(header.Previous)
	check.hashes[header.First-1] = check.last
}

func (check *chainCheck) entry(entry Entry) {
	if entry.Offset != check.blockOffset {
		check.blockOffset, check.blockFindings = entry.Offset, len(check.findings)
	}
	if entry.Index == 0 {
		// A block whose checksum fails has a known reason if an entry of it is altered.
		if len(check.findings) == check.blockFindings {
			check.add(found(KindDamaged, entry, "%s", entry.Problem))
		}
		return
	}
	switch {
	case entry.Index == check.expected:
		check.link(entry, check.last)
		check.advance(entry)
	case entry.Index > check.expected:
		check.skip(entry, entry.Index)
		check.waiting[entry.Index] = entry
		check.advance(entry)
	default:
		check.late(entry)
	}
	check.hashes[entry.Index] = entry.Hash
	if check.hasHead && entry.Index == check.head.Count && entry.Hash != Hash(check.head.Hash) {
		check.add(found(KindRewritten, entry, "the head has another hash for this record"))
	}
}

func (check *chainCheck) advance(entry Entry) {
	check.expected, check.last = entry.Index+1, entry.Hash
}

// link compares an entry with the link before it.
func (check *chainCheck) link(entry Entry, previous Hash) {
	if entry.Hash != previous.next(entry.Index, entry.payload) {
		check.add(found(KindAltered, entry, "the record does not fit the chain"))
	} else if entry.Problem != "" {
		check.add(found(KindDamaged, entry, "%s", entry.Problem))
	}
}

// skip notes the indexes from the expected one up to next as missing.
func (check *chainCheck) skip(place Entry, next Index) {
	if next-check.expected > maxMissing {
		check.add(found(KindDropped, place, "records %d to %d are missing before this place", check.expected, next-1))
		check.expected = next
		return
	}
	for ; check.expected < next; check.expected++ {
		check.missing[check.expected] = true
	}
}

// late handles an entry whose index is behind the expected one.
func (check *chainCheck) late(entry Entry) {
	if !check.missing[entry.Index] {
		check.add(found(KindDoubled, entry, "the record stands twice"))
		return
	}
	delete(check.missing, entry.Index)
	check.add(found(KindReordered, entry, "the record stands behind record %d", check.expected-1))
	if previous, ok := check.hashes[entry.Index-1]; ok {
		check.link(entry, previous)
	}
	if follower, ok := check.waiting[entry.Index+1]; ok {
		check.link(follower, entry.Hash)
		delete(check.waiting, entry.Index+1)
	}
}

func (check *chainCheck) end() {
	place := Entry{File: check.folder, Writer: check.writer}
	for _, gap := range ranges(slices.Sorted(maps.Keys(check.missing))) {
		place.Index = gap[0]
		check.add(found(KindDropped, place, "%s missing", span(gap)))
	}
	if !check.hasHead {
		return
	}
	count := check.expected
	if count > 0 {
		count--
	}
	if check.head.Count > count {
		place.Index = count + 1
		check.add(found(KindTruncated, place, "%s missing at the end", span([2]Index{count + 1, check.head.Count})))
	}
}

// ranges joins sorted neighbours.
func ranges[T ~uint64](sorted []T) [][2]T {
	var result [][2]T
	for _, value := range sorted {
		if last := len(result) - 1; last >= 0 && result[last][1]+1 == value {
			result[last][1] = value
			continue
		}
		result = append(result, [2]T{value, value})
	}
	return result
}

func span[T ~uint64](gap [2]T) string {
	if gap[0] == gap[1] {
		return fmt.Sprintf("record %d is", gap[0])
	}
	return fmt.Sprintf("records %d to %d are", gap[0], gap[1])
}
