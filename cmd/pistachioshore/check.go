package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/codec"
)

// checkCommand holds the flags of a configuration check.
type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration file in YAML or JSON."`
}

// Run prints each fault of the file.
func (c *checkCommand) Run(out output) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	cfg, faults := codec.ParseConfig(raw)
	for _, f := range faults {
		fmt.Fprintln(out, f)
	}
	if len(faults) > 0 {
		return exitStatus(exitRefused)
	}
	fmt.Fprintf(out, "revision %d of firm %s is valid, digest %016x\n", cfg.Revision, cfg.Firm, cfg.Digest)
	return nil
}
