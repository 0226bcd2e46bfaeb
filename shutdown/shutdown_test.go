package shutdown_test

import (
	"fmt"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"pistachioshore.dev/shutdown"
)

var start = time.Unix(1000, 0)

// TestScripts guards against actions out of order and phases that exceed their deadlines.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/shutdown.txt", func(_ *testing.T, d *datadriven.TestData) string {
		m := shutdown.New(shutdown.DefaultSettings())
		m.Start(start)
		m.Start(start.Add(time.Minute)) // must not restart the shutdown
		return regexp.MustCompile(`[^;\n]+`).ReplaceAllStringFunc(d.Input, func(line string) string {
			var ms int
			var progress shutdown.Progress
			fmt.Sscan(line, &ms, &progress.OwnRequests, &progress.RunningAtOwned, &progress.PendingHandovers, &progress.Flushed)
			now := start.Add(time.Duration(ms) * time.Millisecond)
			st := m.Advance(now, progress)
			return fmt.Sprint(" ", st.Phase, st.Actions, max(0, st.NextCheck.Sub(now)))
		})
	})
}

// TestBounds guards against a shutdown that takes more than 8 s, against actions that are out of order, repeated
// or missing, and against revoking permits or closing connections while requests still have time.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lag := time.Duration(rapid.IntRange(-1, 5).Draw(t, "lag")) * time.Second
		reserve := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(-1, 10).Draw(t, name)) * 100 * time.Millisecond
		}
		m := shutdown.New(shutdown.Settings{BalancerLag: lag, DrainReserve: reserve("drain reserve"), EndReserve: reserve("end reserve")})
		stuck := rapid.MapOf(rapid.SampledFrom([]string{"own", "running", "handovers", "flush"}), rapid.Just(1)).Draw(t, "stuck")
		now := start
		st := m.Start(now)
		actions := st.Actions
		for st.Phase != shutdown.Stopped {
			if !st.NextCheck.After(now) && len(st.Actions) == 0 {
				t.Fatalf("got next check at %v without an action, want a time after now", st.NextCheck)
			}
			now = st.NextCheck
			work := func(name string) int { return max(stuck[name], rapid.IntRange(0, 1).Draw(t, name)) }
			progress := shutdown.Progress{OwnRequests: work("own"), RunningAtOwned: work("running"), PendingHandovers: work("handovers"), Flushed: work("flush") == 0}
			st = m.Advance(now, progress)
			actions = append(actions, st.Actions...)
			if slices.Contains(st.Actions, shutdown.RefuseRequests) && now.Sub(start) > shutdown.MaxBalancerLag {
				t.Fatalf("requests refused after %v, want at most %v", now.Sub(start), shutdown.MaxBalancerLag)
			}
			ends := slices.Contains(st.Actions, shutdown.RevokePermits) || slices.Contains(st.Actions, shutdown.EndOwnRequests)
			if ends && progress.OwnRequests > 0 && now.Sub(start) < 7*time.Second {
				t.Fatalf("got %v after %v with own requests in flight, want none yet", st.Actions, now.Sub(start))
			}
		}
		if got := now.Sub(start); got > 8*time.Second {
			t.Errorf("got %v, want at most 8s", got)
		}
		optional := []shutdown.Action{shutdown.ForceHandover, shutdown.EndOwnRequests}
		certain := slices.DeleteFunc(slices.Clone(actions), func(a shutdown.Action) bool { return slices.Contains(optional, a) })
		if !slices.IsSorted(actions) || len(slices.Compact(actions)) != len(actions) || len(certain) != 9 {
			t.Errorf("got %v, want each action once and in order", actions)
		}
	})
}
