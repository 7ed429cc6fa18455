// Package journal writes the events of a stand-in to a file of JSON lines, so
// that the checks can evaluate the runs of a process that has already exited.
package journal

import (
	"bufio"
	"encoding/json"
	"hash/fnv"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Event is the type of a journal entry.
type Event string

// The event types: a model request was queued or a service call started, a model
// request ended, an order or a request violated the protocol, or an engine started.
const (
	Run       Event = "run"
	End       Event = "end"
	Violation Event = "violation"
	Start     Event = "start"
)

// Entry is one line of a journal.
type Entry struct {
	// At is the time at which the entry was written, in Unix microseconds.
	At          int64
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Event       Event
	// Key identifies the content that ran: the ContentKey of a prompt, or an
	// idempotency key.
	Key     string         `json:",omitempty"`
	Attempt core.AttemptID `json:",omitempty"`
	Adapter core.AdapterID `json:",omitempty"`
	Version core.Version   `json:",omitempty"`
	Detail  string         `json:",omitempty"`
}

// ContentKey returns the journal key of a prompt: its FNV-1a hash in hexadecimal.
func ContentKey(content string) string {
	sum := fnv.New64a()
	sum.Write([]byte(content))
	return strconv.FormatUint(sum.Sum64(), 16)
}

// Writer appends entries to a file. It is safe for concurrent use. The zero value
// discards all entries.
type Writer struct {
	// mu guards file. No other lock is taken while it is held.
	mu          sync.Mutex
	file        *os.File
	upstream    core.UpstreamID
	incarnation core.Incarnation
}

// Open returns a writer that appends to the file, and the function that closes
// the file. If path is empty, the writer discards all entries. It returns an
// error if the file cannot be opened.
func Open(path string, upstream core.UpstreamID, incarnation core.Incarnation) (*Writer, func() error, error) {
	if path == "" {
		return &Writer{}, func() error { return nil }, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open journal")
	}
	return &Writer{file: file, upstream: upstream, incarnation: incarnation}, file.Close, nil
}

// Add appends the entry after setting its At, Upstream and Incarnation. Each entry
// is written with one system call and without a buffer, so that it is kept if the
// process exits or crashes. Add panics if the write fails.
func (writer *Writer) Add(entry Entry) {
	if writer.file == nil {
		return
	}
	entry.At = time.Now().UnixMicro()
	entry.Upstream, entry.Incarnation = writer.upstream, writer.incarnation
	line, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if _, err := writer.file.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}

// Read returns the entries of the file. Lines that are not valid JSON, such as a
// partially written last line, are skipped.
func Read(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	defer file.Close()
	var entries []Entry
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var entry Entry
		if json.Unmarshal(lines.Bytes(), &entry) != nil {
			continue
		}
		entries = append(entries, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read journal")
	}
	return entries, nil
}
