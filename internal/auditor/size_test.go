package auditor

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestLongTextsInQueue guards against an entry VM that runs out of memory, as the queue holds long
// IDs of requests while the disks do not keep up.
func TestLongTextsInQueue(t *testing.T) {
	is := is.New(t)
	auditor, closeAuditor := New(Options{Self: Member{VM: "e"}, Incarnation: "i", Logger: log.New(io.Discard)})
	defer closeAuditor()
	long := strings.Repeat("i", 7500)
	record := audit.Record{Event: audit.EventStart, Request: core.RequestID(long), Attempt: core.AttemptID(long + "/1"), Adapter: core.AdapterID(long)}
	is.NoErr(auditor.StartWithin(context.Background(), record, 0))
	auditor.mutex.Lock()
	defer auditor.mutex.Unlock()
	is.Equal(len(auditor.queue), 1)
	is.True(len(encode(auditor.queue[0].record)) < 1024)
}

// TestCopyBytes guards against second copies that take more memory than their bound while only one
// disk can be reached.
func TestCopyBytes(t *testing.T) {
	is := is.New(t)
	auditor := &Auditor{options: Options{Copies: defaultCopies}, targets: targets{disks: make([]Member, 2)}}
	const size = 1 << 20
	for range 2 * maxCopyBytes / size {
		auditor.addCopies([]*pendingRecord{{payload: make([]byte, size)}})
	}
	is.Equal(len(auditor.copies), maxCopyBytes/size)
	is.Equal(auditor.copyBytes, maxCopyBytes)
	is.Equal(auditor.droppedCopies, uint64(maxCopyBytes/size))
	auditor.removeCopies(auditor.copies[:1:1])
	is.Equal(auditor.copyBytes, maxCopyBytes-size)
}
