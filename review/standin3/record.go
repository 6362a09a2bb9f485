package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	file  *os.File
	mutex sync.Mutex
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.WriteString(line)
}

func (r *record) close() { _ = r.file.Close() }
