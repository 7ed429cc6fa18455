package audit

import (
	"fmt"
	"strings"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Kind is the type of a finding.
type Kind string

// The kinds of findings.
const (
	// KindAltered is a record whose hash does not match the chain.
	KindAltered Kind = "altered"
	// KindDropped is a record that is missing in the middle of a chain.
	KindDropped Kind = "dropped"
	// KindDuplicate is a record that occurs more than once in a chain.
	KindDuplicate Kind = "doubled"
	// KindReordered is a record that follows one with a higher index.
	KindReordered Kind = "reordered"
	// KindTruncated is a chain that ends before the count of its head.
	KindTruncated Kind = "truncated"
	// KindRewritten is a chain whose hash differs from the one in its head.
	KindRewritten Kind = "rewritten"
	// KindDamaged is content of a file that cannot be decoded.
	KindDamaged Kind = "damaged"
	// KindCopiesDiffer is a record whose copies differ, or a route table that two records
	// state differently.
	KindCopiesDiffer Kind = "differs"
	// KindSequenceGap is a range of sequence numbers that no file holds.
	KindSequenceGap Kind = "gap"
	// KindNoStart is an end record without a start record.
	KindNoStart Kind = "no-start"
	// KindMismatch is an end record with another adapter or version than its start record.
	KindMismatch Kind = "mismatch"
	// KindNotAllowed is a run that its configuration did not allow.
	KindNotAllowed Kind = "not-allowed"
	// KindNoConfig is a run whose configuration is not in the history or has another hash
	// there, or whose route table is not in the log.
	KindNoConfig Kind = "no-config"
	// KindNoEnd is a start record without an end record: the attempt was still running, or
	// its VM was lost.
	KindNoEnd Kind = "no-end"
	// KindSingleCopy is a number of records with one copy each.
	KindSingleCopy Kind = "single"
	// KindNoHead is a folder without a head, whose end cannot be checked.
	KindNoHead Kind = "no-head"
)

// Finding is a problem that Verify found. The position is set as far as it is known.
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

// String returns the finding as one line of text.
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

// findingAt returns a finding with the position of an entry.
func findingAt(kind Kind, entry Entry, format string, values ...any) Finding {
	return Finding{
		Kind: kind, Writer: entry.Writer, File: entry.File, Offset: entry.Offset, Index: entry.Index,
		VM: entry.Record.VM, Incarnation: entry.Record.Incarnation, Sequence: entry.Record.Sequence,
		Request: entry.Record.Request, Detail: fmt.Sprintf(format, values...),
	}
}
