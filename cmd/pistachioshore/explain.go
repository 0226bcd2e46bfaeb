package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/event/story"
)

// explainCommand holds the argument of an explanation.
type explainCommand struct {
	ID string `arg:"" help:"Id of the request, as the client sent it."`
}

// Help says what is read and printed.
func (c *explainCommand) Help() string {
	return `Reads the log lines of one VM or of many on standard input and prints what they say of one request: its
lines at each VM in the order in which they were logged, and before each of them what the VM believed of
the configuration, the upstream and the store. Clocks of VMs differ and jump, so the order within a VM is
that of its lines, and VMs follow one another by their first line.

Example:
  cat vm-*.log | pistachioshore explain 9c41d07be2a35f68

Exit statuses: 0 printed, 1 no line names the request or another error, 2 usage.
docs/OPERATIONS.md shows three stories.`
}

// Run prints the story.
func (c *explainCommand) Run(out output) error {
	lines, err := story.Read(os.Stdin)
	if err != nil {
		return err
	}
	found, err := story.Explain(out, lines, c.ID)
	if err == nil && !found {
		return errors.Newf("none of %d lines names request %s", len(lines), c.ID)
	}
	return err
}
