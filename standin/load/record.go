package load

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Kind is the type of a request.
type Kind string

// The kinds of requests: model requests with and without streaming, and service
// calls.
const (
	Stream Kind = "stream"
	Whole  Kind = "whole"
	Call   Kind = "call"
)

// Result is the result of a request as its caller observes it.
type Result string

// The results of a request.
const (
	// Answered means a complete answer with status 200.
	Answered Result = "answered"
	// Refused means that the response was an error object.
	Refused Result = "refused"
	// Broken means that a stream ended with an error event.
	Broken Result = "broken"
	// Lost means that the connection failed or timed out before the answer was
	// complete.
	Lost Result = "lost"
	// Failed means that the service ran the call and answered with an error status.
	Failed Result = "failed"
)

// Record describes one request including its resends. A file of records has one
// JSON object per line.
type Record struct {
	ID      string
	Kind    Kind
	VM      string
	Adapter core.AdapterID      `json:",omitempty"`
	Version core.Version        `json:",omitempty"`
	Key     core.IdempotencyKey `json:",omitempty"`
	// Content is the key under which an upstream records a run of the request in
	// its journal.
	Content string
	// Sent, FirstByte and Done are in Unix microseconds.
	Sent      int64
	FirstByte int64 `json:",omitempty"`
	Done      int64
	Resends   int
	Status    int
	Result    Result
	Code      core.RefusalCode `json:",omitempty"`
	Outcome   string           `json:",omitempty"`
	// Faults describes the errors in the answer.
	Faults   []string `json:",omitempty"`
	Detail   string   `json:",omitempty"`
	Request  string   `json:",omitempty"`
	Attempt  string   `json:",omitempty"`
	Config   string   `json:",omitempty"`
	Replayed bool     `json:",omitempty"`
	// Earlier lists the results of the sends before the last one.
	Earlier []Result `json:",omitempty"`
	// Uncertain is set if an earlier send may have run, so that the outcome of a
	// later refusal covers only its own send.
	Uncertain bool `json:",omitempty"`
}

// Recorder appends records to a file. It is safe for concurrent use.
type Recorder struct {
	// mu guards file; no other lock is taken while it is held.
	mu   sync.Mutex
	file *os.File
}

// NewRecorder returns a recorder that appends to the file, and the function that
// closes the file, or an error if the file cannot be opened.
func NewRecorder(path string) (*Recorder, func() error, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open records")
	}
	return &Recorder{file: file}, file.Close, nil
}

func (recorder *Recorder) add(record Record) error {
	line, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if _, err := recorder.file.Write(append(line, '\n')); err != nil {
		return errors.Wrap(err, "write record")
	}
	return nil
}

// ReadRecords returns the records of the file. It returns an error if the file
// cannot be read or a line is not a valid record.
func ReadRecords(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open records")
	}
	defer file.Close()
	var records []Record
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var record Record
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return nil, errors.Wrap(err, "decode record")
		}
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read records")
	}
	return records, nil
}
