package audit

import (
	"fmt"
	"maps"
	"slices"
)

// maxTrackedMissing is the largest number of records that may be missing before one place
// and are still tracked one by one, so that records out of order are recognized.
const maxTrackedMissing = 1 << 16

// chainCheck verifies the chain of one folder.
type chainCheck struct {
	folder   string
	head     head
	hasHead  bool
	findings []Finding
	started  bool
	writer   string
	// expected is the index of the next record, and last the hash of the one before it.
	expected Index
	last     Hash
	// pruned is set if the first file does not start at record 1.
	pruned bool
	// hashes holds the record hashes of the current file.
	hashes map[Index]Hash
	// missing holds the indexes that were skipped, and unlinked the entries whose hash
	// cannot be checked yet because the preceding record was skipped.
	missing  map[Index]bool
	unlinked map[Index]Entry
	// blockOffset is the offset of the current block in its file, and blockFindings the
	// number of findings before it.
	blockOffset   int64
	blockFindings int
}

// checkChain verifies the chain of a folder and calls visit for every entry that can be
// decoded. It returns an error if files cannot be read.
func checkChain(folder string, visit func(Entry)) (*chainCheck, error) {
	head, found, err := readHead(folder) // read before the files, which a writer may extend meanwhile
	if err != nil {
		return nil, err
	}
	check := &chainCheck{
		folder: folder, head: head, hasHead: found,
		hashes: make(map[Index]Hash), missing: make(map[Index]bool), unlinked: make(map[Index]Entry),
	}
	files, err := Files(folder)
	if err != nil {
		return nil, err
	}
	for _, path := range files {
		if err := check.checkFile(path, visit); err != nil {
			return nil, err
		}
	}
	check.finish()
	return check, nil
}

func (check *chainCheck) checkFile(path string, visit func(Entry)) error {
	var failed error
	begin := func(header fileHeader) { check.beginFile(path, header) }
	readFile(path, begin, func(entry Entry, err error) bool {
		if err != nil {
			failed = err
			return false
		}
		check.addEntry(entry)
		if entry.Problem == "" {
			visit(entry)
		}
		return true
	})
	return failed
}

func (check *chainCheck) addFinding(finding Finding) {
	check.findings = append(check.findings, finding)
}

func (check *chainCheck) beginFile(path string, header fileHeader) {
	check.blockOffset = -1
	position := Entry{File: path, Writer: header.Writer, Index: header.First}
	if !check.started {
		check.started, check.expected, check.last = true, header.First, Hash(header.Previous)
		check.writer, check.pruned = header.Writer, header.First > 1
		if check.hasHead && header.First > check.head.First {
			check.addFinding(findingAt(KindDropped, position, "records %d to %d: their files are missing", check.head.First, header.First-1))
		}
		return
	}
	if header.Writer != check.writer {
		check.addFinding(findingAt(KindDamaged, position, "the file belongs to chain %s, not to %s", header.Writer, check.writer))
	}
	if header.First > check.expected {
		check.markMissing(position, header.First)
	} else if header.First == check.expected && Hash(header.Previous) != check.last {
		check.addFinding(findingAt(KindAltered, position, "the file does not continue the one before it"))
	}
	last, ok := check.hashes[check.expected-1]
	clear(check.hashes)
	if ok {
		check.hashes[check.expected-1] = last
	}
	check.last = Hash(header.Previous)
	check.hashes[header.First-1] = check.last
}

func (check *chainCheck) addEntry(entry Entry) {
	if entry.Offset != check.blockOffset {
		check.blockOffset, check.blockFindings = entry.Offset, len(check.findings)
	}
	if entry.Index == 0 {
		// A finding about an entry of the block already explains its wrong checksum.
		if len(check.findings) == check.blockFindings {
			check.addFinding(findingAt(KindDamaged, entry, "%s", entry.Problem))
		}
		return
	}
	switch {
	case entry.Index == check.expected:
		check.checkHash(entry, check.last)
		check.advance(entry)
	case entry.Index > check.expected:
		check.markMissing(entry, entry.Index)
		check.unlinked[entry.Index] = entry
		check.advance(entry)
	default:
		check.addOutOfOrder(entry)
	}
	check.hashes[entry.Index] = entry.Hash
	if check.hasHead && entry.Index == check.head.Count && entry.Hash != Hash(check.head.Hash) {
		check.addFinding(findingAt(KindRewritten, entry, "the head has another hash for this record"))
	}
}

func (check *chainCheck) advance(entry Entry) {
	check.expected, check.last = entry.Index+1, entry.Hash
}

// checkHash checks the hash of an entry against the hash of the preceding record.
func (check *chainCheck) checkHash(entry Entry, previous Hash) {
	if entry.Hash != previous.extend(entry.Index, entry.payload) {
		check.addFinding(findingAt(KindAltered, entry, "the hash of the record does not match the chain"))
	} else if entry.Problem != "" {
		check.addFinding(findingAt(KindDamaged, entry, "%s", entry.Problem))
	}
}

// markMissing records the indexes from the expected one to next-1 as missing.
func (check *chainCheck) markMissing(position Entry, next Index) {
	if next-check.expected > maxTrackedMissing {
		check.addFinding(findingAt(KindDropped, position, "records %d to %d are missing before this place", check.expected, next-1))
		check.expected = next
		return
	}
	for ; check.expected < next; check.expected++ {
		check.missing[check.expected] = true
	}
}

// addOutOfOrder adds an entry whose index is lower than the expected one.
func (check *chainCheck) addOutOfOrder(entry Entry) {
	if !check.missing[entry.Index] {
		check.addFinding(findingAt(KindDuplicate, entry, "the record occurs more than once in the chain"))
		return
	}
	delete(check.missing, entry.Index)
	check.addFinding(findingAt(KindReordered, entry, "the record follows record %d", check.expected-1))
	if previous, ok := check.hashes[entry.Index-1]; ok {
		check.checkHash(entry, previous)
	}
	if follower, ok := check.unlinked[entry.Index+1]; ok {
		check.checkHash(follower, entry.Hash)
		delete(check.unlinked, entry.Index+1)
	}
}

func (check *chainCheck) finish() {
	position := Entry{File: check.folder, Writer: check.writer}
	for _, gap := range contiguousRanges(slices.Sorted(maps.Keys(check.missing))) {
		position.Index = gap[0]
		check.addFinding(findingAt(KindDropped, position, "%s missing", describeRange(gap)))
	}
	if !check.hasHead {
		return
	}
	count := check.expected
	if count > 0 {
		count--
	}
	if check.head.Count > count {
		position.Index = count + 1
		check.addFinding(findingAt(KindTruncated, position, "%s missing at the end", describeRange([2]Index{count + 1, check.head.Count})))
	}
}

// contiguousRanges groups sorted numbers into ranges, given by their first and last number.
func contiguousRanges[T ~uint64](sorted []T) [][2]T {
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

func describeRange[T ~uint64](gap [2]T) string {
	if gap[0] == gap[1] {
		return fmt.Sprintf("record %d is", gap[0])
	}
	return fmt.Sprintf("records %d to %d are", gap[0], gap[1])
}
