package main

import (
	"errors"
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
		if tempDir != "" {
			os.RemoveAll(tempDir)
		}
		os.Exit(2)
	}
}

// tempDir is the temporary folder of the case.
var tempDir string

// Held returns false, as the rule was not broken. It ends the program as a case that could not run if the conditions that
// the case needs did not arise, so that a run that has tested nothing does not count as one in which the rule held.
func (r *Record) Held(arose bool, needed string) bool {
	if !arose {
		r.Line("the case could not run: it needs %s", needed)
		unable(errors.New("it needs " + needed))
	}
	return false
}
