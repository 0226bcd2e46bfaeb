package main

import (
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// output is the writer that commands print their results to. It is a named type so that kong can inject it.
type output interface {
	io.Writer
}

// exitStatus is an error that makes the process exit with the given status without printing a message.
type exitStatus int

// Error implements the error interface.
func (exitStatus) Error() string {
	return "command ended with its own exit status"
}

// run runs the selected command. If the command returns an exitStatus, run returns it as a number
// instead of as an error.
func run(k *kong.Context) (int, error) {
	err := k.Run()
	var s exitStatus
	if errors.As(err, &s) {
		return int(s), nil
	}
	return 0, err
}
