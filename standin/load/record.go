package load

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Kind is the form of a request.
type Kind string

// The kinds of requests.
const (
	Stream Kind = "stream"
	Whole  Kind = "whole"
	Call   Kind = "call"
)

// Result is how one request ended for its caller.
type Result string

// The results of a request.
const (
	// Answered means a whole answer with status 200.
	Answered Result = "answered"
	// Refused means an error object instead of an answer.
	Refused Result = "refused"
	// Broken means a stream that ended with an explicit error event.
	Broken Result = "broken"
	// Lost means that the connection failed before the end.
	Lost Result = "lost"
	// Failed means an answer that passes on the error of a service.
	Failed Result = "failed"
)

// Record is one line of the records: one request over all its resends.
type Record struct {
	ID      string
	Kind    Kind
	VM      string
	Adapter core.AdapterID      `json:",omitempty"`
	Version core.Version        `json:",omitempty"`
	Key     core.IdempotencyKey `json:",omitempty"`
	// Content is the journal key of what an upstream would run.
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
	// Faults lists what was wrong with the answer itself.
	Faults   []string `json:",omitempty"`
	Detail   string   `json:",omitempty"`
	Request  string   `json:",omitempty"`
	Attempt  string   `json:",omitempty"`
	Config   string   `json:",omitempty"`
	Replayed bool     `json:",omitempty"`
	// Earlier lists the results of the sends before the last one.
	Earlier []Result `json:",omitempty"`
	// Uncertain is set if an earlier send may have run, so that a later refusal
	// speaks only of its own send.
	Uncertain bool `json:",omitempty"`
}

// Recorder appends records to a file. It is safe for concurrent use.
type Recorder struct {
	// mu guards file; no other lock is taken while it is held.
	mu   sync.Mutex
	file *os.File
}

// NewRecorder returns a recorder that appends to the file, and the function that
// closes it.
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

// ReadRecords returns the records of the file.
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
