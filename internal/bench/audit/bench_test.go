package audit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPath guards against a bench whose path refuses requests or whose log is not
// sound, so that its figures would mean nothing.
func TestPath(t *testing.T) {
	is := is.New(t)
	log, closeLog, err := openLog(t.TempDir())
	is.NoErr(err)
	defer closeLog()
	address, closePath := newPath(log.auditor)
	defer closePath()
	load := &load{}
	is.NoErr(load.run(address, 50*time.Millisecond))
	closeLog()
	figures, err := verify(log.folders)
	is.NoErr(err)
	for _, figure := range figures {
		is.True(figure.pass)
	}
	is.True(log.writer.Stats().Records >= 2*uint64(len(load.latencies)))
}
