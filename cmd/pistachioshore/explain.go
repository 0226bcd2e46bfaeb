package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/event/story"
)

// explainCommand holds the argument of the explain command.
type explainCommand struct {
	ID string `arg:"" help:"Request ID, as the client sent it."`
}

// Help returns the help text, which describes the input and the output.
func (c *explainCommand) Help() string {
	return `Reads the logs of one or more VMs from standard input and prints the lines of one request, grouped by
VM and in the order in which the VM logged them. A line is preceded by the events that it depends on:
the latest state of the configuration, the upstream and the configuration store at that VM, each printed
once. The clocks of VMs differ and may jump, so the lines of a VM are not sorted by time; the VMs are
sorted by the time of their first line about the request.

Example:
  cat vm-*.log | pistachioshore explain 9c41d07be2a35f68

Exit statuses: 0 printed, 1 request not found in the logs or other error, 2 usage.
docs/OPERATIONS.md shows three examples.`
}

// Run reads the logs from standard input and prints the explanation.
func (c *explainCommand) Run(out output) error {
	lines, err := story.Read(os.Stdin)
	if err != nil {
		return err
	}
	found, err := story.Explain(out, lines, c.ID)
	if err == nil && !found {
		return errors.Newf("none of the %d log lines mentions request %s", len(lines), c.ID)
	}
	return err
}
