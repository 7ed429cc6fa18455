package audit

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestNewest guards against a reader of the newest records that returns those of older files,
// stops at a record that cannot be decoded, decodes records that are not asked for, or fails at
// a block that a crash has cut.
func TestNewest(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	writer, closeWriter, err := Open(folder, Options{VM: "vm-1", RotateBytes: 1})
	is.NoErr(err)
	// Each block has a file of its own, and the newest file has no block.
	is.NoErr(writer.Append(t.Context(), mustEncode(t, testRecord(1))))
	is.NoErr(writer.Append(t.Context(), mustEncode(t, testRecord(2)), Payload(`{"Sequence":"text"}`), mustEncode(t, testRecord(3))))
	is.NoErr(writer.Append(t.Context(), mustEncode(t, testRecord(4)), mustEncode(t, testRecord(5))))
	closeWriter()
	newest := func(files int, wanted func(Payload) bool) []uint64 {
		var sequences []uint64
		for record, err := range NewReader(folder).Newest(files, wanted) {
			is.NoErr(err)
			sequences = append(sequences, record.Sequence)
		}
		return sequences
	}
	all := func(Payload) bool { return true }
	is.Equal(newest(1, all), nil)
	is.Equal(newest(2, all), []uint64{4, 5})
	is.Equal(newest(3, all), []uint64{4, 5, 2, 3})
	is.Equal(newest(9, all), []uint64{4, 5, 2, 3, 1})
	is.Equal(newest(9, func(payload Payload) bool { return bytes.Contains(payload, []byte(`"Sequence":3`)) }), []uint64{3})

	files, err := Files(folder)
	is.NoErr(err)
	content, err := os.ReadFile(files[2])
	is.NoErr(err)
	is.NoErr(os.WriteFile(files[2], content[:len(content)-3], 0o600))
	is.Equal(newest(3, all), []uint64{2, 3}) // the cut block is left out
	for record, err := range NewReader(folder).Newest(9, all) {
		is.NoErr(err)
		is.Equal(record.Sequence, uint64(2)) // a caller may stop at any record
		break
	}
}
