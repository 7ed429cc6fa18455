package audit

import (
	"fmt"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Kind tells what a finding is.
type Kind string

// The kinds of findings.
const (
	// KindAltered is a record that does not fit the chain.
	KindAltered Kind = "altered"
	// KindDropped is a record that is missing in the middle of a chain.
	KindDropped Kind = "dropped"
	// KindDoubled is a record that stands twice in a chain.
	KindDoubled Kind = "doubled"
	// KindReordered is a record that stands behind a later one.
	KindReordered Kind = "reordered"
	// KindTruncated is a chain that ends before the count of its head.
	KindTruncated Kind = "truncated"
	// KindRewritten is a chain with another hash than its head.
	KindRewritten Kind = "rewritten"
	// KindDamaged is a place that cannot be read.
	KindDamaged Kind = "damaged"
	// KindDiffers is a record whose copies differ.
	KindDiffers Kind = "differs"
	// KindGap is a sequence number that no file holds.
	KindGap Kind = "gap"
	// KindNoStart is an end without a start.
	KindNoStart Kind = "no-start"
	// KindMismatch is a run of another adapter or version than its start names.
	KindMismatch Kind = "mismatch"
	// KindNotAllowed is a run that its configuration did not allow.
	KindNotAllowed Kind = "not-allowed"
	// KindNoConfig is a run whose configuration is not in the history.
	KindNoConfig Kind = "no-config"
	// KindNoEnd is a start without an end: the attempt still ran, or its VM was lost.
	KindNoEnd Kind = "no-end"
	// KindSingle is a record with one copy.
	KindSingle Kind = "single"
	// KindNoHead is a folder without a head, whose end cannot be checked.
	KindNoHead Kind = "no-head"
)

// Finding is something that Verify found, with the place as far as it is known.
type Finding struct {
	Kind        Kind
	Writer      string           `json:",omitempty"`
	File        string           `json:",omitempty"`
	Offset      int64            `json:",omitempty"`
	Index       Index            `json:",omitempty"`
	VM          core.VMID        `json:",omitempty"`
	Incarnation core.Incarnation `json:",omitempty"`
	Sequence    uint64           `json:",omitempty"`
	Request     core.RequestID   `json:",omitempty"`
	Detail      string
}

// String returns the finding in one line.
func (finding Finding) String() string {
	parts := []string{string(finding.Kind)}
	add := func(set bool, format string, values ...any) {
		if set {
			parts = append(parts, fmt.Sprintf(format, values...))
		}
	}
	add(finding.Index > 0, "index=%d", finding.Index)
	add(finding.Sequence > 0, "record=%s/%s/%d", finding.VM, finding.Incarnation, finding.Sequence)
	add(finding.Request != "", "request=%s", finding.Request)
	add(finding.File != "", "file=%s offset=%d", finding.File, finding.Offset)
	return strings.Join(parts, " ") + ": " + finding.Detail
}

// found describes something at the place of an entry.
func found(kind Kind, entry Entry, format string, values ...any) Finding {
	return Finding{
		Kind: kind, Writer: entry.Writer, File: entry.File, Offset: entry.Offset, Index: entry.Index,
		VM: entry.Record.VM, Incarnation: entry.Record.Incarnation, Sequence: entry.Record.Sequence,
		Request: entry.Record.Request, Detail: fmt.Sprintf(format, values...),
	}
}
