package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a slow reader.
	queuedLines = 1024
	// linesPerSecond bounds the volume under load. A line of 300 bytes makes that 120 KB
	// a second.
	linesPerSecond = 400
	// reportInterval is the time between two lines on what was left out.
	reportInterval = time.Second
)

// bounded writes lines beside those who log. It never waits for its reader: what finds
// no room is left out and counted.
type bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	lock   sync.Mutex // a leaf: guards what follows
	closed bool
	window time.Time
	count  int
}

// Bound returns a writer of lines to out that never waits, and a function that writes what
// is left and stops it. A line with the number of lines left out follows when there is
// room again.
func Bound(out io.Writer) (io.Writer, func()) {
	writer := &bounded{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go writer.run()
	return writer, writer.close
}

// Write takes one line. It always succeeds.
func (writer *bounded) Write(line []byte) (int, error) {
	writer.lock.Lock()
	defer writer.lock.Unlock()
	if writer.closed || !writer.admit(time.Now()) {
		writer.dropped.Add(1)
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// admit counts the lines of a second. The caller holds the lock.
func (writer *bounded) admit(now time.Time) bool {
	if now.Sub(writer.window) >= time.Second {
		writer.window, writer.count = now, 0
	}
	writer.count++
	return writer.count <= linesPerSecond
}

func (writer *bounded) run() {
	defer close(writer.done)
	var reported time.Time
	for line := range writer.lines {
		_, _ = writer.out.Write(line)
		if now := time.Now(); now.Sub(reported) >= reportInterval {
			if dropped := writer.dropped.Swap(0); dropped > 0 {
				fmt.Fprintf(writer.out, "level=warn prefix=logging msg=\"Lines were left out.\" lines=%d\n", dropped)
				reported = now
			}
		}
	}
}

func (writer *bounded) close() {
	writer.lock.Lock()
	if !writer.closed {
		writer.closed = true
		close(writer.lines)
	}
	writer.lock.Unlock()
	<-writer.done
}
