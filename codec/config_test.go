package codec

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/result"
)

// TestConfigFaults guards against faults with a wrong code, path, value or allowed range. Each input line
// "old => new" edits the valid file that the command names; the command "text" takes the input as the file.
func TestConfigFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults.txt", func(t *testing.T, d *datadriven.TestData) string {
		raw := []byte(d.Input)
		if d.Cmd != "text" {
			raw = editedFile(t, d.Cmd, d.Input)
		}
		cfg, faults := ParseConfig(raw)
		var out strings.Builder
		for _, f := range faults {
			fmt.Fprintln(&out, f)
		}
		if len(faults) == 0 {
			fmt.Fprintf(&out, "%+v\n%+v\n%+v\n", cfg.Groups[0].Services[0].Servers[0], cfg.Routes[0], cfg.Limits)
		}
		if _, again := ParseConfig(raw); !reflect.DeepEqual(again, faults) {
			t.Error("parsing the same bytes again gives other faults")
		}
		return out.String()
	})
}

func editedFile(t *testing.T, file, edits string) []byte {
	raw, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	for _, edit := range strings.Split(edits, "\n") {
		from, to, _ := strings.Cut(edit, " => ")
		if !bytes.Contains(raw, []byte(from)) {
			t.Fatalf("the file lacks %q", from)
		}
		raw = bytes.Replace(raw, []byte(from), []byte(to), 1)
	}
	return raw
}

// TestConfigBounds guards against files that exceed the size limit, have too many faults, or would make the
// parser overflow the stack or take too long.
func TestConfigBounds(t *testing.T) {
	for text, want := range map[string]result.Code{
		"[" + strings.Repeat("1,", MaxConfigBytes/2-1):        result.ValueTooLarge,
		"[" + strings.Repeat("1,", maxValues) + "1]":          result.ValueTooLarge,
		strings.Repeat("- a:\n", 5000):                        result.Malformed, // the parser would take quadratic time
		strings.Repeat("-\n", 5000):                           result.Malformed,
		"[" + strings.Repeat("{a: }, {a},", 5000) + "]":       result.Malformed,
		strings.Repeat("a:\n- b\n", 5000):                     result.Malformed,
		strings.Repeat("#", MaxConfigBytes+1):                 result.ValueTooLarge,
		strings.Repeat("[", MaxConfigBytes/4):                 result.Malformed,
		strings.Repeat("- ", MaxConfigBytes/2):                result.Malformed,
		strings.Repeat("[", 9000) + strings.Repeat("]", 9000): result.WrongType,
	} {
		if _, faults := ParseConfig([]byte(text)); len(faults) == 0 || faults[0].Code != want {
			t.Errorf("%.10q: got %v, want %v", text, faults, want)
		}
	}
	many := "format: 1\nzones: [" + strings.Repeat("1, ", 100) + "]"
	if _, faults := ParseConfig([]byte(many)); len(faults) != MaxFaults {
		t.Errorf("got %d faults, want %d", len(faults), MaxFaults)
	}
}

// TestResultCodePage guards against codes that docs/result-codes.md lacks or describes wrongly.
func TestResultCodePage(t *testing.T) {
	page, err := os.ReadFile("../docs/result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+ \| [a-z-]+ \| [a-z -]+) \| \S`).FindAllSubmatch(page, -1) {
		rows[string(m[1])] = true
	}
	for _, c := range result.Codes() {
		effect := strings.ReplaceAll(c.Effect().String(), "-", " ")
		if want := fmt.Sprintf("%d | %s | %s", c, c, effect); !rows[want] {
			t.Errorf("the page lacks the row %q", want)
		}
	}
	if got, want := len(rows), len(result.Codes()); got != want {
		t.Errorf("got %d rows, want %d", got, want)
	}
}
