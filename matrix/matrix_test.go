package matrix

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// TestMain runs a VM instead of the tests in a child process that a cell has started.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == "vm" {
		if err := RunVM(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// TestShort guards against a tier that violates a property, or does not recover, under the faults of the fixed selection
// for CI.
func TestShort(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), Settings{Seed: 1, Short: true, Parallel: 4, ChildCommand: []string{self, "vm"}}, func(c CellReport) {
		c.Print(testWriter{t})
		name := fmt.Sprintf("%s at %s", c.Faults, c.Step)
		if c.Error == "" && len(c.Violations) > 0 && allKnownFailures(t, name, c.Violations) {
			fmt.Printf("known red, passed over: %s: %d violations, see KNOWN-RED.txt\n", name, len(c.Violations))
			return
		}
		if c.Error != "" || len(c.Violations) > 0 {
			t.Errorf("%s at %s: got %d violations and error %q, want none", c.Faults, c.Step, len(c.Violations), c.Error)
		}
	})
	if err != nil || len(r.Cells) == 0 {
		t.Fatalf("got %d cells and %v, want some", len(r.Cells), err)
	}
}

// allKnownFailures reports whether KNOWN-RED.txt lists every violated property of the cell.
func allKnownFailures(t *testing.T, cell string, violations []Violation) bool {
	t.Helper()
	text, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil {
		return false // without the file, no failure is known
	}
	for _, v := range violations {
		line := fmt.Sprintf("red: matrix TestShort %s: %s", cell, v.Property)
		if !slices.Contains(strings.Split(string(text), "\n"), line) {
			return false
		}
	}
	return true
}

// testWriter writes to the log of a test.
type testWriter struct {
	t *testing.T
}

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Log(string(b))
	return len(b), nil
}

// TestTables guards against a fault in the table without an injector, a step without a trigger, and pairs that differ
// between two runs with the same seed.
func TestTables(t *testing.T) {
	s := Settings{Seed: 7, Pairs: 20}
	single, pairs, err := selectCells(s)
	if err != nil {
		t.Fatal(err)
	}
	byName := injectors()
	for _, c := range single {
		if _, ok := byName[c.Faults[0].Name]; !ok {
			t.Errorf("fault %s has no injector", c.Faults[0].Name)
		}
	}
	if _, again, _ := selectCells(s); !reflect.DeepEqual(pairs, again) || len(pairs) != s.Pairs {
		t.Errorf("got %v then %v, want the same %d pairs", pairs, again, s.Pairs)
	}
	if _, _, err := selectCells(Settings{Faults: []string{"no-such-fault"}}); err == nil {
		t.Error("got no error for an unknown fault")
	}
}
