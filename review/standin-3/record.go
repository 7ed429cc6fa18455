package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	start time.Time
	lock  sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{start: time.Now(), file: file}, func() { file.Close() }, nil
}

// note writes a line with the time since the start in seconds.
func (record *record) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(record.start).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	record.lock.Lock()
	defer record.lock.Unlock()
	_, _ = record.file.WriteString(line)
	fmt.Print(line)
}
