package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	lock    sync.Mutex // a leaf
	taken   bytes.Buffer
}

func (stalled *stalled) Write(line []byte) (int, error) {
	<-stalled.release
	stalled.lock.Lock()
	defer stalled.lock.Unlock()
	return stalled.taken.Write(line)
}

// TestBoundNeverWaits guards against a request that is held up by a reader that stopped
// reading the log, and against lines that are left out without a word.
func TestBoundNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader := &stalled{release: make(chan struct{})}
		writer, closeWriter := Bound(reader)
		began := time.Now()
		for range 3 * queuedLines {
			count, err := writer.Write([]byte("line\n"))
			is.NoErr(err)
			is.Equal(count, len("line\n"))
		}
		is.Equal(time.Since(began), time.Duration(0))
		close(reader.release)
		closeWriter()
		reader.lock.Lock()
		defer reader.lock.Unlock()
		is.True(strings.Contains(reader.taken.String(), "lines=2672")) // 3,072 less 400
		is.Equal(strings.Count(reader.taken.String(), "line\n"), linesPerSecond)
	})
}

// TestStructuredErrors guards against an error that takes several lines of the log.
func TestStructuredErrors(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logs, err := NewStructured(&out, "info")
	is.NoErr(err)
	logs.Part("part").Warn("It failed.", "error", errors.Wrap(errors.New("cause"), "step"))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `error="step: cause"`))
	is.True(strings.Contains(out.String(), "prefix=part"))
}
