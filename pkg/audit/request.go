package audit

import (
	"cmp"
	"iter"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// recordKey identifies a record across its copies.
type recordKey struct {
	vmIncarnation
	sequence uint64
}

// DistinctRecords returns the records of all folders without repeated copies, in the
// order of the folders. It yields an error for files that cannot be read.
func DistinctRecords(folders []string) iter.Seq2[Record, error] {
	return func(yield func(Record, error) bool) {
		seen := make(map[recordKey]bool)
		for _, folder := range folders {
			for record, err := range NewReader(folder).Records() {
				key := recordKey{vmIncarnation{record.VM, record.Incarnation}, record.Sequence}
				if err == nil && seen[key] {
					continue
				}
				seen[key] = true
				if !yield(record, err) {
					return
				}
			}
		}
	}
}

// RequestRecords returns all records of one request, sorted by time and then by sequence
// number. The request may be named by its ID or by the form that BoundText returns for it.
// RequestRecords returns an error if files cannot be read.
func RequestRecords(folders []string, request core.RequestID) ([]Record, error) {
	request = BoundText(request)
	var records []Record
	for record, err := range DistinctRecords(folders) {
		if err != nil {
			return nil, err
		}
		if record.Request == request {
			records = append(records, record)
		}
	}
	slices.SortStableFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Sequence, b.Sequence))
	})
	return records, nil
}
