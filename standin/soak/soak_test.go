package soak_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/standin/soak"
)

// TestSeeds guards the promises of the platform's pages under the faults of short seeds, and of seeds that
// once broke one. It runs the program that PISTACHIO_SOAK_PROGRAM names as processes of their own.
func TestSeeds(t *testing.T) {
	program := os.Getenv("PISTACHIO_SOAK_PROGRAM")
	if program == "" {
		t.Skip("PISTACHIO_SOAK_PROGRAM names no program; scripts/test.sh builds one")
	}
	datadriven.RunTest(t, "testdata/seeds.txt", func(t *testing.T, d *datadriven.TestData) string {
		var seed uint64
		var length int
		d.ScanArgs(t, "seed", &seed)
		d.ScanArgs(t, "seconds", &length)
		dir := filepath.Join(t.TempDir(), d.Cmd)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		r, err := soak.Run(soak.Settings{Seed: seed, Duration: time.Duration(length) * time.Second, Command: []string{program}, Dir: dir})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(r)
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: got %d broken promises, want none", seed, len(r.Violations))
		}
		return ""
	})
}
