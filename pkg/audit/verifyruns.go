package audit

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// vmIncarnation identifies one incarnation of a VM.
type vmIncarnation struct {
	vm          core.VMID
	incarnation core.Incarnation
}

// copyState holds the digest of the first copy of a record and the number of copies.
type copyState struct {
	digest uint64
	copies int
}

// run is an attempt of which only the start record or only the end record was read yet.
type run struct {
	entry   Entry
	adapter core.AdapterVersion
	service core.ServiceID
}

// runCheck merges the records of all writers, and checks runs and sequence numbers.
type runCheck struct {
	report       *Report
	permissions  *permissionChecker
	incarnations map[vmIncarnation]map[uint64]*copyState
	starts       map[core.AttemptID]run
	ends         map[core.AttemptID]run
	routes       routeCheck
}

func newRunCheck(report *Report, history History) *runCheck {
	check := &runCheck{
		report: report, incarnations: make(map[vmIncarnation]map[uint64]*copyState),
		starts: make(map[core.AttemptID]run), ends: make(map[core.AttemptID]run), routes: newRouteCheck(),
	}
	if history != nil {
		check.permissions = &permissionChecker{history, make(map[permission]permissionResult)}
	}
	return check
}

func (check *runCheck) addFault(finding Finding) {
	check.report.Faults = append(check.report.Faults, finding)
}

func (check *runCheck) addNotice(finding Finding) {
	check.report.Notices = append(check.report.Notices, finding)
}

// addCopy adds one copy of a record.
func (check *runCheck) addCopy(entry Entry) {
	key := vmIncarnation{entry.Record.VM, entry.Record.Incarnation}
	records := check.incarnations[key]
	if records == nil {
		records = make(map[uint64]*copyState)
		check.incarnations[key] = records
	}
	digest := recordDigest(entry)
	known := records[entry.Record.Sequence]
	if known == nil {
		records[entry.Record.Sequence] = &copyState{digest, 1}
		check.report.Records++
		check.addRecord(entry)
		return
	}
	known.copies++
	if known.digest != digest {
		check.addFault(findingAt(KindCopiesDiffer, entry, "another copy of the record has other content"))
	}
}

// recordDigest returns a digest of a record without the field Buffered. If the answer of a
// disk VM was lost, its copy does not have the field set, but later copies may.
func recordDigest(entry Entry) uint64 {
	payload := entry.payload
	if entry.Record.Buffered {
		entry.Record.Buffered = false
		if plain, err := Encode(entry.Record); err == nil {
			payload = plain
		}
	}
	hash := Hash{}.extend(0, payload)
	return binary.LittleEndian.Uint64(hash[:])
}

// addRecord adds the first copy of a record.
func (check *runCheck) addRecord(entry Entry) {
	record := entry.Record
	entry.payload = nil // otherwise the content of the whole file would stay in memory
	state := run{entry, core.AdapterVersion{Adapter: record.Adapter, Version: record.Version}, record.Service}
	switch record.Event {
	case EventStart:
		check.report.Runs++
		check.checkPermission(entry)
		if end, ok := check.ends[record.Attempt]; ok {
			delete(check.ends, record.Attempt)
			check.compareAdapters(state, end)
			return
		}
		check.starts[record.Attempt] = state
	case EventEnd:
		if start, ok := check.starts[record.Attempt]; ok {
			delete(check.starts, record.Attempt)
			check.compareAdapters(start, state)
			return
		}
		check.ends[record.Attempt] = state
	case EventRefused:
		check.report.Refused++
	case EventRoutes:
		if !check.routes.addTable(record) {
			check.addFault(findingAt(KindCopiesDiffer, entry, "another record states route table %d with other routes", record.Config))
		}
	}
}

// checkPermission checks a run against its configuration.
func (check *runCheck) checkPermission(entry Entry) {
	if entry.Record.Route != "" {
		check.routes.addRun(entry)
		return
	}
	if check.permissions == nil {
		return
	}
	result := check.permissions.check(permissionOf(entry.Record))
	if result.kind != KindNoConfig {
		check.report.Joined++
	}
	if result.kind != "" {
		check.addFault(findingAt(result.kind, entry, "%s under configuration %d: %s", describeTarget(entry.Record), entry.Record.Config, result.detail))
	}
}

func describeTarget(record Record) string {
	if record.Service != "" {
		return "service " + string(record.Service)
	}
	return "adapter " + core.AdapterVersion{Adapter: record.Adapter, Version: record.Version}.String()
}

// compareAdapters adds a fault if the end record names another adapter or version than the
// start record.
func (check *runCheck) compareAdapters(start, end run) {
	if end.adapter.IsZero() || end.adapter == start.adapter {
		return
	}
	check.addFault(findingAt(KindMismatch, end.entry, "%s ran, but the start names %s", end.adapter, start.adapter))
}

// finish runs the checks that need all records. If partial is set, some folders are
// absent, and neither missing start records nor sequence numbers are checked. If pruned is
// set, old files were removed: missing start records are not checked, and sequence numbers
// only from the lowest one that is present.
func (check *runCheck) finish(partial, pruned bool) {
	check.report.Joined += check.routes.finish(func(kind Kind, entry Entry, detail string) {
		finding := findingAt(kind, entry, "route table %d: %s", entry.Record.Config, detail)
		if kind == KindNoConfig {
			check.addNotice(finding)
			return
		}
		check.addFault(finding)
	})
	for _, start := range sortedRuns(check.starts) {
		check.addNotice(findingAt(KindNoEnd, start.entry, "the attempt has no end"))
	}
	if partial {
		return
	}
	if !pruned {
		for _, end := range sortedRuns(check.ends) {
			check.addFault(findingAt(KindNoStart, end.entry, "the attempt has no start"))
		}
	}
	keys := slices.SortedFunc(maps.Keys(check.incarnations), func(a, b vmIncarnation) int {
		return cmp.Or(cmp.Compare(a.vm, b.vm), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, key := range keys {
		check.checkSequences(key, check.incarnations[key], pruned)
	}
}

func sortedRuns(runs map[core.AttemptID]run) []run {
	return slices.SortedFunc(maps.Values(runs), func(a, b run) int {
		return cmp.Or(cmp.Compare(a.entry.Record.VM, b.entry.Record.VM), cmp.Compare(a.entry.Record.Sequence, b.entry.Record.Sequence))
	})
}

// checkSequences adds a fault for each gap in the sequence numbers of one incarnation, and
// counts the records with one copy.
func (check *runCheck) checkSequences(key vmIncarnation, records map[uint64]*copyState, pruned bool) {
	sequences := slices.Sorted(maps.Keys(records))
	expected := uint64(1)
	if pruned {
		expected = sequences[0]
	}
	for _, sequence := range sequences {
		if sequence > expected {
			check.addFault(Finding{
				Kind: KindSequenceGap, VM: key.vm, Incarnation: key.incarnation, Sequence: expected,
				Detail: describeRange([2]uint64{expected, sequence - 1}) + " in no file",
			})
		}
		expected = sequence + 1
		if records[sequence].copies == 1 {
			check.report.Single++
		}
	}
}
