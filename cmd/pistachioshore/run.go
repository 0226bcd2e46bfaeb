package main

import (
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// output is where answers are printed.
type output interface {
	io.Writer
}

// exitStatus lets a command end with a status of its own after it has printed its answer.
type exitStatus int

// Error says which status the process ends with.
func (exitStatus) Error() string {
	return "the command ended with a status of its own"
}

// run runs the selected command and separates its exit status from its errors.
func run(k *kong.Context) (int, error) {
	err := k.Run()
	var s exitStatus
	if errors.As(err, &s) {
		return int(s), nil
	}
	return 0, err
}
