package audit

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestBoundedRecords guards against records whose size a caller chooses, against two long IDs that
// have one form in the log, and against a run whose start and end do not match.
func TestBoundedRecords(t *testing.T) {
	datadriven.RunTest(t, "testdata/texts", func(t *testing.T, data *datadriven.TestData) string {
		var length, send int
		data.ScanArgs(t, "length", &length)
		data.MaybeScanArgs(t, "send", &send)
		text := strings.Repeat("i", length-1) + "x"
		record := Record{Request: core.RequestID(text), Attempt: core.AttemptID(text), Adapter: core.AdapterID(text), Version: core.Version(text), Call: text}
		if send > 0 {
			record.Attempt = core.AttemptID(text + "/" + strconv.Itoa(send))
		}
		bounded := record.Bounded()
		if !reflect.DeepEqual(bounded.Bounded(), bounded) {
			t.Error("the form of a bounded record is another one")
		}
		for _, other := range []string{string(bounded.Adapter), string(bounded.Version), bounded.Call} {
			if other != string(bounded.Request) {
				t.Errorf("%q is bounded as %q", text, other)
			}
		}
		_, number, _ := strings.Cut(string(bounded.Attempt), "/")
		return fmt.Sprintf("%d bytes, unchanged: %t, attempt %d bytes, send %q\n", len(bounded.Request), reflect.DeepEqual(bounded, record), len(bounded.Attempt), number)
	})
}

// TestLongRequestIsFound guards against an auditor who looks for a long ID and does not find its
// records.
func TestLongRequestIsFound(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	writer, closeWriter, err := Open(folder, Options{VM: "c1"})
	is.NoErr(err)
	long := core.RequestID(strings.Repeat("a", 7500))
	for i, request := range []core.RequestID{long, long[1:], long + "b"} {
		payload, err := Encode(Record{VM: "e", Incarnation: "1", Sequence: uint64(i + 1), Event: EventStart, Request: request}.Bounded())
		is.NoErr(err)
		is.NoErr(writer.Append(t.Context(), payload))
	}
	closeWriter()
	for _, name := range []core.RequestID{long, BoundText(long)} {
		records, err := RequestRecords([]string{folder}, name)
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(records[0].Sequence, uint64(1))
	}
}
