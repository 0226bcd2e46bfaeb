package story_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/event/story"
)

// TestScripts guards against a history that is out of order after the clock has jumped back, and against lines
// without the state that explains them.
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
