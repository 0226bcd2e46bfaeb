package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/quarantine"
)

// TestSuspects guards that a request under which upstreams crash is blocked at the third, and that one
// that has succeeded anywhere is not: a zone that is cut off breaks and refuses the connections of many
// upstreams at once, without any crash.
func TestSuspects(t *testing.T) {
	start := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/suspects.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := quarantine.NewCrashTracker(quarantine.DefaultCrashTrackerSettings())
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var seconds int
			var command, upstream string
			fmt.Sscan(line, &seconds, &command, &upstream)
			now := start.Add(time.Duration(seconds) * time.Second)
			switch command {
			case "crashed":
				fmt.Fprintf(&out, "new %t\n", s.RecordCrash(now, 7, upstream))
			case "succeeded":
				s.RecordSuccess(now, 7)
			case "blocked":
				fmt.Fprintf(&out, "blocked %t\n", s.Blocked(now, 7))
			default:
				t.Fatalf("unknown command %q", command)
			}
		}
		return out.String()
	})
}
