package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestParseAndSchedule guards against accepting an invalid scenario file, and against a schedule that is out of
// order, ignores a change of rate or is not reproducible from its seed.
func TestParseAndSchedule(t *testing.T) {
	datadriven.RunTest(t, "testdata/scenario.txt", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse([]byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		if d.Cmd == "parse" {
			return "ok\n"
		}
		var seed uint64
		d.ScanArgs(t, "seed", &seed)
		calls := s.Schedule(seed)
		sorted := slices.IsSortedFunc(calls, func(a, b Call) int { return int(a.IntendedStart - b.IntendedStart) })
		return fmt.Sprintf("%d calls, in order: %v, last before 5s: %v, same again: %v, other seed differs: %v\n", len(calls), sorted,
			calls[len(calls)-1].IntendedStart < 5*time.Second, slices.Equal(calls, s.Schedule(seed)), !slices.Equal(calls, s.Schedule(seed+1)))
	})
}

// TestShippedScenarios guards against a file in the scenarios folder that fails validation.
func TestShippedScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d files and %v", len(paths), err)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(raw); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}
