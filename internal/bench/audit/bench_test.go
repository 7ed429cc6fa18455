package audit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPath guards against a benchmark whose requests are refused or whose audit log
// does not pass verification; its figures would then be meaningless.
func TestPath(t *testing.T) {
	is := is.New(t)
	log, closeLog, err := openLog(t.TempDir())
	is.NoErr(err)
	defer closeLog()
	address, closePath := startRequestPath(log.auditor)
	defer closePath()
	load := &loadTest{}
	is.NoErr(load.run(address, 50*time.Millisecond))
	closeLog()
	figures, err := measureVerification(log.folders)
	is.NoErr(err)
	for _, figure := range figures {
		is.True(figure.pass)
	}
	is.True(log.writer.Stats().Records >= 2*uint64(len(load.latencies)))
}
