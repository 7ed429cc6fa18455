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

// blockedWriter is an output that blocks all writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	lock    sync.Mutex // no other lock is acquired while it is held
	written bytes.Buffer
}

func (writer *blockedWriter) Write(line []byte) (int, error) {
	<-writer.unblock
	writer.lock.Lock()
	defer writer.lock.Unlock()
	return writer.written.Write(line)
}

// TestBoundedWriterNeverWaits guards against requests that block because the output of
// the log accepts no more data, and against lines that are dropped without a report.
func TestBoundedWriterNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		blocked := &blockedWriter{unblock: make(chan struct{})}
		writer, closeWriter := NewBoundedWriter(blocked)
		start := time.Now()
		for range 3 * maxQueuedLines {
			count, err := writer.Write([]byte("line\n"))
			is.NoErr(err)
			is.Equal(count, len("line\n"))
		}
		is.Equal(time.Since(start), time.Duration(0))
		close(blocked.unblock)
		closeWriter()
		blocked.lock.Lock()
		defer blocked.lock.Unlock()
		is.True(strings.Contains(blocked.written.String(), "lines=2672")) // 3,072 lines minus the 400 of the rate limit
		is.Equal(strings.Count(blocked.written.String(), "line\n"), maxLinesPerSecond)
	})
}

// TestLongLines guards against lines that take more memory than their number allows, as callers
// choose texts in them.
func TestLongLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	writer, closeWriter := NewBoundedWriter(&out)
	long := "request=" + strings.Repeat("i", 7500) + " outcome=refused\n"
	count, err := writer.Write([]byte(long))
	is.NoErr(err)
	is.Equal(count, len(long))
	closeWriter()
	is.Equal(out.Len(), maxLineBytes)
	is.True(strings.HasPrefix(long, strings.TrimSuffix(out.String(), "...\n")))
}

// TestStructuredErrors guards against an error that spans several lines of the log.
func TestStructuredErrors(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	loggers, err := NewStructured(&out, "info")
	is.NoErr(err)
	loggers.Logger("part").Warn("It failed.", "error", errors.Wrap(errors.New("cause"), "step"))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `error="step: cause"`))
	is.True(strings.Contains(out.String(), "prefix=part"))
}
