package matrix

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// sabotageVariable is the environment variable that makes TestSabotage build and run the programs. docs/proofs.md names
// it.
const sabotageVariable = "PISTACHIO_SABOTAGE"

// mutationTimeout limits the run of one program.
const mutationTimeout = time.Minute

// edit replaces a text that occurs exactly once in a file of the workspace.
type edit struct {
	file, old, new string
}

// mutation disables one mechanism. In the selected cells, the checks must report the property that it ensures.
type mutation struct {
	name, property, faults, steps string
	edits                         []edit
}

func readMutation(t *testing.T, path string) mutation {
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	m := mutation{name: strings.TrimSuffix(filepath.Base(path), ".txt")}
	blocks := strings.Split(string(raw), "--- ")
	for _, line := range strings.Split(strings.TrimSpace(blocks[0]), "\n") {
		key, value, _ := strings.Cut(line, ": ")
		switch key {
		case "property":
			m.property = value
		case "faults":
			m.faults = value
		case "steps":
			m.steps = value
		default:
			t.Fatalf("%s: unknown line %q", path, line)
		}
	}
	for _, b := range blocks[1:] {
		file, texts, _ := strings.Cut(b, "\n")
		before, after, ok := strings.Cut(texts, "\n+++\n")
		if !ok {
			t.Fatalf("%s: the edit of %s has no +++ line", path, file)
		}
		m.edits = append(m.edits, edit{file, before, strings.TrimSuffix(after, "\n")})
	}
	return m
}

// apply returns the changed files by path. It fails the test unless each old text occurs exactly once.
func (m mutation) apply(t *testing.T, root string) map[string]string {
	changed := map[string]string{}
	for _, e := range m.edits {
		path := filepath.Join(root, e.file)
		if _, ok := changed[path]; !ok {
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			changed[path] = string(raw)
		}
		if n := strings.Count(changed[path], e.old); n != 1 {
			t.Fatalf("%s: got the old text %d times in %s, want once:\n%s", m.name, n, e.file, e.old)
		}
		changed[path] = strings.Replace(changed[path], e.old, e.new, 1)
	}
	return changed
}

// build builds the matrix program with the changed files as an overlay of the workspace.
func (m mutation) build(t *testing.T, root string, changed map[string]string) string {
	dir := t.TempDir()
	overlay := struct{ Replace map[string]string }{map[string]string{}}
	for path, text := range changed {
		file := filepath.Join(dir, fmt.Sprintf("%d.go", len(overlay.Replace)))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		overlay.Replace[path] = file
	}
	raw, err := json.Marshal(overlay)
	if err != nil {
		t.Fatal(err)
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(dir, "matrix")
	cmd := exec.Command("go", "build", "-overlay", list, "-o", program, "./cmd/pistachio-matrix")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// run returns the properties that the program reports as violated.
func (m mutation) run(t *testing.T, program string) []string {
	cmd := exec.Command(program, "--pairs", "0", "--report", "json", "--faults", m.faults, "--steps", m.steps)
	var out, log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	limit := time.AfterFunc(mutationTimeout, func() { _ = cmd.Process.Kill() })
	defer limit.Stop()
	_ = cmd.Wait() // the exit status only says whether there were violations
	var r Report
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatalf("report: %v\n%s%s", err, out.Bytes(), log.Bytes())
	}
	var violated []string
	for _, c := range r.Cells {
		violated = append(violated, c.ViolatedProperties...)
		if c.Error != "" {
			t.Errorf("%s at %s was not run: %s", c.Faults, c.Step, c.Error)
		}
	}
	slices.Sort(violated)
	return slices.Compact(violated)
}

// TestSabotage guards against a check that no longer detects violations. Each mutation disables the mechanism that
// ensures a property; the checks must then report that property, and may report others.
func TestSabotage(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("testdata/sabotage/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d mutations and %v, want some", len(files), err)
	}
	for _, f := range files {
		m := readMutation(t, f)
		t.Run(m.name, func(t *testing.T) {
			changed := m.apply(t, root) // also without the variable, to detect mutations that no longer match the code
			if os.Getenv(sabotageVariable) == "" {
				t.Skipf("mutation not run: %s is not set", sabotageVariable)
			}
			t.Parallel()
			got := m.run(t, m.build(t, root, changed))
			t.Logf("%-36s %-12s reported: %s", m.name, m.property, strings.Join(got, " "))
			if !slices.Contains(got, m.property) {
				t.Errorf("got violations of %v, want one of %s", got, m.property)
			}
		})
	}
}
