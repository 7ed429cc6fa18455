package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the number of lines that wait for a slow output.
	maxQueuedLines = 1024
	// maxLineBytes bounds a line, which may hold texts that callers choose. The end of a longer
	// line is left out.
	maxLineBytes = 4096
	// maxLinesPerSecond bounds the volume under load: 120 KB per second with lines of 300
	// bytes.
	maxLinesPerSecond = 400
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = time.Second
)

// boundedWriter queues lines and writes them in a separate goroutine, so that callers never
// wait for the output. Lines above the limits are dropped and counted.
type boundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	lock        sync.Mutex // no other lock is acquired while it is held; guards the fields below
	closed      bool
	windowStart time.Time
	windowLines int
}

// NewBoundedWriter returns a writer that queues lines for out without blocking, and a
// function that writes the remaining lines and stops the writer. Lines that exceed the
// queue or the rate limit are dropped, and a later line reports their number.
func NewBoundedWriter(out io.Writer) (io.Writer, func()) {
	writer := &boundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go writer.run()
	return writer, writer.close
}

// Write queues or drops one line. It always returns the length of the line and no error.
func (writer *boundedWriter) Write(line []byte) (int, error) {
	writer.lock.Lock()
	defer writer.lock.Unlock()
	if writer.closed || !writer.allow(time.Now()) {
		writer.dropped.Add(1)
		return len(line), nil
	}
	select {
	case writer.lines <- boundLine(line):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// boundLine returns a copy of a line that ends with a line feed and has at most maxLineBytes.
func boundLine(line []byte) []byte {
	const mark = "...\n"
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	return append(append([]byte(nil), line[:maxLineBytes-len(mark)]...), mark...)
}

// allow counts a line and reports whether it is within the limit of the current second.
// The caller holds the lock.
func (writer *boundedWriter) allow(now time.Time) bool {
	if now.Sub(writer.windowStart) >= time.Second {
		writer.windowStart, writer.windowLines = now, 0
	}
	writer.windowLines++
	return writer.windowLines <= maxLinesPerSecond
}

// run writes queued lines and reports of dropped lines until the queue is closed.
func (writer *boundedWriter) run() {
	defer close(writer.done)
	var reported time.Time
	for line := range writer.lines {
		_, _ = writer.out.Write(line)
		if now := time.Now(); now.Sub(reported) >= reportInterval {
			if dropped := writer.dropped.Swap(0); dropped > 0 {
				fmt.Fprintf(writer.out, "level=warn prefix=logging msg=\"Log lines were dropped.\" lines=%d\n", dropped)
				reported = now
			}
		}
	}
}

// close stops the queue and waits until the remaining lines are written. Lines written
// later are dropped.
func (writer *boundedWriter) close() {
	writer.lock.Lock()
	if !writer.closed {
		writer.closed = true
		close(writer.lines)
	}
	writer.lock.Unlock()
	<-writer.done
}
