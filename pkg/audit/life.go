package audit

import (
	"cmp"
	"iter"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// recordKey names a record over all its copies.
type recordKey struct {
	source
	sequence uint64
}

// Distinct returns the records of all folders, each once, in the order of the
// folders.
func Distinct(folders []string) iter.Seq2[Record, error] {
	return func(yield func(Record, error) bool) {
		seen := make(map[recordKey]bool)
		for _, folder := range folders {
			for record, err := range NewReader(folder).Records() {
				key := recordKey{source{record.VM, record.Incarnation}, record.Sequence}
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

// Life returns all records of one request in the order of their time.
func Life(folders []string, request core.RequestID) ([]Record, error) {
	var life []Record
	for record, err := range Distinct(folders) {
		if err != nil {
			return nil, err
		}
		if record.Request == request {
			life = append(life, record)
		}
	}
	slices.SortStableFunc(life, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Sequence, b.Sequence))
	})
	return life, nil
}
