package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTransit guards against a heartbeat that a link or a suspended VM has held back and that is taken for new, and against
// drifting clocks or a restarted sender that make all heartbeats count as late.
func TestTransit(t *testing.T) {
	datadriven.RunTest(t, "testdata/transit.txt", func(t *testing.T, d *datadriven.TestData) string {
		var estimate transit
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var incarnation uint64
			var sentMs, receivedMs int
			if _, err := fmt.Sscan(line, &incarnation, &sentMs, &receivedMs); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintln(&out, estimate.excess(incarnation, time.Duration(sentMs)*time.Millisecond, time.Duration(receivedMs)*time.Millisecond))
		}
		return out.String()
	})
}
