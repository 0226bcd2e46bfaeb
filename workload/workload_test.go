package workload_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/workload"
)

// TestScripts guards against an expectation that mixes requests of different cost, that one stalled attempt spoils, that
// does not follow a change, and against memory that grows with what clients send.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/workload.txt", func(t *testing.T, d *datadriven.TestData) string {
		e, now := workload.New(), time.Unix(1000, 0)
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var command, route, method, text string
			var bytes, n int
			fmt.Sscan(line, &command, &route, &method, &bytes, &text, &n)
			work, _ := time.ParseDuration(text)
			c := workload.NewClass(route, method, bytes)
			switch command {
			case "observe", "at-least":
				for range n {
					now = now.Add(10 * time.Millisecond)
					if command == "observe" {
						e.Observe(now, c, work)
					} else {
						e.ObserveAtLeast(now, c, work)
					}
				}
			case "after":
				work, _ = time.ParseDuration(route)
				now = now.Add(work)
			case "expect":
				fmt.Fprintln(&out, e.Expect(c).Round(100*time.Microsecond))
			case "flood":
				for i := range 2000 {
					now = now.Add(time.Millisecond)
					e.Observe(now, workload.NewClass(fmt.Sprint(route, i), fmt.Sprint("METHOD-", i), i), time.Millisecond)
				}
				fmt.Fprintln(&out, len(e.Recent(10000)), "classes")
			default:
				t.Fatalf("unknown command %q", command)
			}
		}
		return out.String()
	})
}
