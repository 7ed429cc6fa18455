package rig

import (
	"math"
	"slices"
	"strings"
)

// disruption is a span in which a process was disrupted, in Unix microseconds.
type disruption struct {
	process string
	detail  string
	from    int64
	to      int64
}

func (span disruption) slowed() bool { return strings.HasPrefix(span.detail, Slowed) }

// disruptions tells when a VM is in touch.
type disruptions struct {
	byProcess map[string][]disruption
	// unstable are the spans in which no VM is in touch because the core is not stable.
	unstable []disruption
	contact  int64
}

// newDisruptions pairs the records of the player. A disruption without an end lasts for the
// rest of the play.
func newDisruptions(records []Record, figures Figures) disruptions {
	all := disruptions{byProcess: make(map[string][]disruption), contact: figures.Contact.Microseconds()}
	for _, record := range records {
		spans := all.byProcess[record.Process]
		switch record.Event {
		case Disrupted:
			all.byProcess[record.Process] = append(spans, disruption{record.Process, record.Detail, record.At, math.MaxInt64})
		case Restored:
			end(spans, record)
		}
	}
	all.unstable = all.coreSpans(figures.Control)
	return all
}

// end ends the last open disruption with the detail of the record: several disruptions of one
// process may overlap. A record without a detail ends the last open one.
func end(spans []disruption, record Record) {
	for i := len(spans) - 1; i >= 0; i-- {
		if spans[i].to == math.MaxInt64 && (record.Detail == "" || record.Detail == spans[i].detail) {
			spans[i].to = record.At
			return
		}
	}
}

// coreSpans returns the spans in which the core is not stable: at the begin and the end of
// each disruption of a control VM, while one is slowed, and while no majority runs. A core
// that has lost its majority needs twice the contact time: half of that is added here.
func (all disruptions) coreSpans(control []string) []disruption {
	var spans, losses []disruption
	for _, process := range control {
		for _, span := range all.byProcess[process] {
			if span.slowed() {
				spans = append(spans, span)
				continue
			}
			spans = append(spans, disruption{from: span.from, to: span.from}, disruption{from: span.to, to: span.to})
			losses = append(losses, span)
		}
	}
	for _, loss := range losses {
		lost := make(map[string]bool)
		to := int64(math.MaxInt64)
		for _, other := range losses {
			if other.from <= loss.from && loss.from < other.to {
				lost[other.process] = true
				to = min(to, other.to)
			}
		}
		if 2*(len(control)-len(lost)) <= len(control) {
			if to < math.MaxInt64-all.contact {
				to += all.contact
			}
			spans = append(spans, disruption{from: loss.from, to: to})
		}
	}
	return spans
}

// inTouch reports whether a process is in touch at a time: it and the core were undisturbed
// for the contact time before.
func (all disruptions) inTouch(process string, at int64) bool {
	return !all.disturbed(process, at-all.contact, at) && !overlaps(all.unstable, at-all.contact, at)
}

// disturbed reports whether a process was disrupted at some time between from and to.
func (all disruptions) disturbed(process string, from, to int64) bool {
	return overlaps(all.byProcess[process], from, to)
}

func overlaps(spans []disruption, from, to int64) bool {
	return slices.ContainsFunc(spans, func(span disruption) bool { return span.from <= to && span.to >= from })
}
