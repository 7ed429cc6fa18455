package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes lines with the time since the start of the case.
type record struct {
	begun time.Time
	lock  sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{begun: time.Now(), file: file}, nil
}

func (record *record) write(format string, values ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	fmt.Fprintf(record.file, "%9.3f s  %s\n", time.Since(record.begun).Seconds(), fmt.Sprintf(format, values...))
}

func (record *record) close() { record.file.Close() }
