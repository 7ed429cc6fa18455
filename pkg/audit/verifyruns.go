package audit

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// source is one run of one VM.
type source struct {
	vm          core.VMID
	incarnation core.Incarnation
}

// copyState is what is known about the copies of a record.
type copyState struct {
	digest uint64
	copies int
}

// run is an attempt of which only one end was seen.
type run struct {
	place   Entry
	adapter core.AdapterVersion
	service core.ServiceID
}

// runCheck joins the records of all writers.
type runCheck struct {
	report  *Report
	judge   *judge
	sources map[source]map[uint64]*copyState
	starts  map[core.AttemptID]run
	ends    map[core.AttemptID]run
	routes  routeCheck
}

func newRunCheck(report *Report, history History) *runCheck {
	check := &runCheck{
		report: report, sources: make(map[source]map[uint64]*copyState),
		starts: make(map[core.AttemptID]run), ends: make(map[core.AttemptID]run), routes: newRouteCheck(),
	}
	if history != nil {
		check.judge = &judge{history, make(map[permission]verdict)}
	}
	return check
}

func (check *runCheck) fault(finding Finding) {
	check.report.Faults = append(check.report.Faults, finding)
}

func (check *runCheck) notice(finding Finding) {
	check.report.Notices = append(check.report.Notices, finding)
}

// visit takes one copy of a record.
func (check *runCheck) visit(entry Entry) {
	key := source{entry.Record.VM, entry.Record.Incarnation}
	records := check.sources[key]
	if records == nil {
		records = make(map[uint64]*copyState)
		check.sources[key] = records
	}
	digest := digestOf(entry)
	known := records[entry.Record.Sequence]
	if known == nil {
		records[entry.Record.Sequence] = &copyState{digest, 1}
		check.report.Records++
		check.record(entry)
		return
	}
	known.copies++
	if known.digest != digest {
		check.fault(found(KindDiffers, entry, "another copy of the record has other content"))
	}
}

// digestOf returns a digest of a record without the mark Buffered. A disk VM whose
// answer was lost has the record without it, and other copies have it.
func digestOf(entry Entry) uint64 {
	payload := entry.payload
	if entry.Record.Buffered {
		entry.Record.Buffered = false
		if plain, err := Encode(entry.Record); err == nil {
			payload = plain
		}
	}
	hash := Hash{}.next(0, payload)
	return binary.LittleEndian.Uint64(hash[:])
}

// record takes the first copy of a record.
func (check *runCheck) record(entry Entry) {
	record := entry.Record
	entry.payload = nil // keeps the file's content from staying in memory
	state := run{entry, core.AdapterVersion{Adapter: record.Adapter, Version: record.Version}, record.Service}
	switch record.Event {
	case EventStart:
		check.report.Runs++
		check.allowed(entry)
		if end, ok := check.ends[record.Attempt]; ok {
			delete(check.ends, record.Attempt)
			check.compare(state, end)
			return
		}
		check.starts[record.Attempt] = state
	case EventEnd:
		if start, ok := check.starts[record.Attempt]; ok {
			delete(check.starts, record.Attempt)
			check.compare(start, state)
			return
		}
		check.ends[record.Attempt] = state
	case EventRefused:
		check.report.Refused++
	case EventRoutes:
		if !check.routes.table(record) {
			check.fault(found(KindDiffers, entry, "another record states route table %d with other routes", record.Config))
		}
	}
}

// allowed joins a run to its configuration.
func (check *runCheck) allowed(entry Entry) {
	if entry.Record.Route != "" {
		check.routes.run(entry)
		return
	}
	if check.judge == nil {
		return
	}
	answer := check.judge.judge(permissionOf(entry.Record))
	if answer.kind != KindNoConfig {
		check.report.Joined++
	}
	if answer.kind != "" {
		check.fault(found(answer.kind, entry, "%s under configuration %d: %s", subject(entry.Record), entry.Record.Config, answer.detail))
	}
}

func subject(record Record) string {
	if record.Service != "" {
		return "service " + string(record.Service)
	}
	return "adapter " + core.AdapterVersion{Adapter: record.Adapter, Version: record.Version}.String()
}

// compare refuses an end that names another adapter than the start.
func (check *runCheck) compare(start, end run) {
	if end.adapter.IsZero() || end.adapter == start.adapter {
		return
	}
	check.fault(found(KindMismatch, end.place, "%s ran, but the start names %s", end.adapter, start.adapter))
}

// end reports what needs all records. Gaps and missing starts are looked for only
// if the folders are all that there are and nothing was removed from them.
func (check *runCheck) end(partial, retained bool) {
	check.report.Joined += check.routes.judge(func(kind Kind, entry Entry, detail string) {
		finding := found(kind, entry, "route table %d: %s", entry.Record.Config, detail)
		if kind == KindNoConfig {
			check.notice(finding)
			return
		}
		check.fault(finding)
	})
	for _, start := range sortedRuns(check.starts) {
		check.notice(found(KindNoEnd, start.place, "the attempt has no end"))
	}
	if partial {
		return
	}
	if !retained {
		for _, end := range sortedRuns(check.ends) {
			check.fault(found(KindNoStart, end.place, "the attempt has no start"))
		}
	}
	keys := slices.SortedFunc(maps.Keys(check.sources), func(a, b source) int {
		return cmp.Or(cmp.Compare(a.vm, b.vm), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, key := range keys {
		check.sequence(key, check.sources[key], retained)
	}
}

func sortedRuns(runs map[core.AttemptID]run) []run {
	return slices.SortedFunc(maps.Values(runs), func(a, b run) int {
		return cmp.Or(cmp.Compare(a.place.Record.VM, b.place.Record.VM), cmp.Compare(a.place.Record.Sequence, b.place.Record.Sequence))
	})
}

// sequence reports the gaps of one incarnation and counts single copies.
func (check *runCheck) sequence(key source, records map[uint64]*copyState, retained bool) {
	sequences := slices.Sorted(maps.Keys(records))
	expected := uint64(1)
	if retained {
		expected = sequences[0]
	}
	for _, sequence := range sequences {
		if sequence > expected {
			check.fault(Finding{
				Kind: KindGap, VM: key.vm, Incarnation: key.incarnation, Sequence: expected,
				Detail: span([2]uint64{expected, sequence - 1}) + " in no file",
			})
		}
		expected = sequence + 1
		if records[sequence].copies == 1 {
			check.report.Single++
		}
	}
}
