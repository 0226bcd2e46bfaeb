package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/quarantine"
)

// TestCrashTracker guards against a request that is not blocked after crashing three upstreams, and against blocking
// one that has succeeded at any upstream. An upstream that starts again under its ID can crash again. When a zone is partitioned, connections to many of its upstreams are lost and
// then refused although none of them has crashed.
func TestCrashTracker(t *testing.T) {
	start := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/suspects.txt", func(t *testing.T, d *datadriven.TestData) string {
		tracker := quarantine.NewCrashTracker(quarantine.DefaultCrashTrackerSettings())
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var seconds int
			var command, upstream string
			var startedAt int64 // in ms
			fmt.Sscan(line, &seconds, &command, &upstream, &startedAt)
			now := start.Add(time.Duration(seconds) * time.Second)
			switch command {
			case "crashed":
				fmt.Fprintf(&out, "new %t\n", tracker.RecordCrash(now, quarantine.Crash{Fingerprint: 7, Upstream: upstream, StartedAt: time.UnixMilli(startedAt)}))
			case "succeeded":
				tracker.RecordSuccess(now, 7)
			case "blocked":
				fmt.Fprintf(&out, "blocked %t\n", tracker.Blocked(now, 7))
			default:
				t.Fatalf("unknown command %q", command)
			}
		}
		return out.String()
	})
}
