package vm

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/logging"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/audit"
)

// TestAuditAfterFailedWrite guards against a VM that takes no audit records any more after a
// write to its disk has failed, for instance because the disk was full. A folder at the path of
// the next audit file makes the write fail.
func TestAuditAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	loggers, err := logging.New(io.Discard, "info")
	is.NoErr(err)
	opened := storage{}
	config := settings.Settings{VM: "vm-1", DataFolder: t.TempDir(), AuditRotateBytes: 1}
	closeAuditor, err := opened.openAuditor(config, peer.Identity{VM: "vm-1", Incarnation: "i"}, nil, loggers)
	is.NoErr(err)
	defer closeAuditor()
	sequence := uint64(0)
	receive := func() bool {
		sequence++
		payload, err := audit.Encode(audit.Record{VM: "vm-2", Incarnation: "i", Sequence: sequence, Event: audit.EventRefused})
		is.NoErr(err)
		batch := &wire.Audit{SecondCopy: true, Entries: []*wire.AuditEntry{{Record: payload}}}
		return opened.auditor.Receive(context.Background(), batch).GetDurable()
	}
	obstacle := filepath.Join(opened.auditFolder, fmt.Sprintf("%020d.audit", 2))
	is.NoErr(os.Mkdir(obstacle, 0o700))
	is.True(receive())
	is.True(!receive())
	is.NoErr(os.Remove(obstacle))
	for end := time.Now().Add(5 * time.Second); !receive(); <-time.After(50 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}
