package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	unable(err)
	return &Record{file: f, start: time.Now()}
}

// Line writes a line with the seconds since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// unable ends the program with status 2 if the case cannot run.
func unable(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		stopAll()
		os.Exit(2)
	}
}
