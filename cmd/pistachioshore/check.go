package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
)

// checkCommand holds the flags of the check command.
type checkCommand struct {
	File   string `arg:"" type:"existingfile" help:"Configuration file in YAML or JSON."`
	Report string `enum:"text,json" default:"text" help:"Format of the report: text with one line per fault, or json for a single object."`
}

// checkReport is the result of a check as JSON.
type checkReport struct {
	File     string       `json:"file"`
	Valid    bool         `json:"valid"`
	Firm     string       `json:"firm,omitempty"`
	Revision uint64       `json:"revision,omitempty"`
	Digest   string       `json:"digest,omitempty"` // in hexadecimal
	Faults   []checkFault `json:"faults"`
}

// checkFault is one fault in the configuration file.
type checkFault struct {
	Code    int    `json:"code"` // result code
	Name    string `json:"name"` // name of the result code
	Path    string `json:"path"` // path of the invalid field
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Help returns the help text, which describes the check and refers to the description of the format.
func (c *checkCommand) Help() string {
	return `Runs the checks that an entry VM runs before it applies a configuration. It prints each fault with its
code, field, value and allowed range, or the revision and digest if the file is valid. It does not need
a running tier. Check every file before you publish it. docs/configuration.md describes the format.

Examples:
  pistachioshore check tier.yaml
  pistachioshore check --report json tier.yaml

Exit statuses: 0 valid, 1 file cannot be read, 2 usage, 4 file has faults.`
}

// Run validates the file and prints its faults. The exit status is 0 if an entry VM would accept the file
// and 4 if it would not.
func (c *checkCommand) Run(out output) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	cfg, faults := codec.ParseConfig(raw)
	if c.Report == "json" {
		err = json.NewEncoder(out).Encode(c.newReport(cfg, faults))
	} else {
		err = printCheckResult(out, cfg, faults)
	}
	if err == nil && len(faults) > 0 {
		return exitStatus(exitRefused)
	}
	return errors.Wrap(err, "print report")
}

func (c *checkCommand) newReport(cfg *catalog.Config, faults []*result.Error) checkReport {
	r := checkReport{File: c.File, Valid: len(faults) == 0, Faults: []checkFault{}}
	for _, f := range faults {
		r.Faults = append(r.Faults, checkFault{
			Code: int(f.Code), Name: f.Code.String(), Path: f.Path, Value: f.Value, Allowed: f.Allowed, Detail: f.Detail,
		})
	}
	if r.Valid {
		r.Firm, r.Revision, r.Digest = cfg.Firm, cfg.Revision, formatDigest(cfg)
	}
	return r
}

func printCheckResult(out output, cfg *catalog.Config, faults []*result.Error) error {
	for _, f := range faults {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "revision %d of firm %s is valid, digest %s\n", cfg.Revision, cfg.Firm, formatDigest(cfg))
	return err
}

func formatDigest(cfg *catalog.Config) string {
	return fmt.Sprintf("%016x", cfg.Digest)
}
