package story_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/event/story"
)

// TestScripts guards that the story of a request holds its lines in the order in which they were logged,
// also when the clock went back, and the beliefs that they rest on.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/story.txt", func(t *testing.T, d *datadriven.TestData) string {
		lines, err := story.Read(strings.NewReader(d.Input))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		found, err := story.Explain(&out, lines, d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		if !found {
			return "not found\n"
		}
		return out.String()
	})
}
