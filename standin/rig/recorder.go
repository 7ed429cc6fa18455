package rig

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Recorder appends records to a file. Each record is one write, so that the records of a
// process that is killed are all in the file.
type Recorder struct {
	// lock guards file; no other lock is acquired while it is held.
	lock sync.Mutex
	file *os.File
}

// NewRecorder opens the file of records at path, and returns a function that closes it.
func NewRecorder(path string) (*Recorder, func() error, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open records")
	}
	return &Recorder{file: file}, file.Close, nil
}

// Write appends a record. It sets the time of a record without one.
func (recorder *Recorder) Write(record Record) {
	if record.At == 0 {
		record.At = time.Now().UnixMicro()
	}
	line, err := json.Marshal(record)
	if err != nil {
		return // a record has no field that cannot be encoded
	}
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	_, _ = recorder.file.Write(append(line, '\n'))
}
