package auditor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/audit"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestFlushIsBounded guards against a VM that waits for an unresponsive disk VM for longer
// than Options.Flush when it stops, and is therefore killed.
func TestFlushIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		deployment := &deployment{
			members: []Member{{"a1", "a", false}, {"b1", "b", true}}, flush: 400 * time.Millisecond,
			vms: make(map[core.VMID]*Auditor), disks: make(map[core.VMID]*disk), modes: make(map[core.VMID]string),
		}
		deployment.open()
		deployment.setMode("b1", "silent")
		is.NoErr(deployment.vms["a1"].StartWithin(t.Context(), audit.Record{Event: audit.EventStart, Request: "r"}, 0))
		synctest.Wait()
		began := time.Now()
		deployment.closers[0]()
		is.True(time.Since(began) <= deployment.flush)
		deployment.closers[1]()
	})
}
