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

// TestScripts guards the order of the actions and the bound of each phase.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/shutdown.txt", func(_ *testing.T, d *datadriven.TestData) string {
		m := shutdown.New(shutdown.DefaultSettings())
		m.Start(start)
		m.Start(start.Add(time.Minute)) // must not begin again
		return regexp.MustCompile(`[^;\n]+`).ReplaceAllStringFunc(d.Input, func(look string) string {
			var ms int
			var in shutdown.Progress
			fmt.Sscan(look, &ms, &in.OwnRequests, &in.RunningAtOwned, &in.PendingHandovers, &in.Flushed)
			now := start.Add(time.Duration(ms) * time.Millisecond)
			st := m.Advance(now, in)
			return fmt.Sprint(" ", st.Phase, st.Actions, max(0, st.NextCheck.Sub(now)))
		})
	})
}

// TestBounds guards against a shutdown beyond 8 s, an action out of order, twice or left out, and
// against permits revoked or connections closed under requests that still have time.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lag := time.Duration(rapid.IntRange(-1, 5).Draw(t, "lag")) * time.Second
		m := shutdown.New(shutdown.Settings{BalancerLag: lag})
		stuck := rapid.MapOf(rapid.SampledFrom([]string{"own", "running", "handovers", "flush"}), rapid.Just(1)).Draw(t, "stuck")
		now := start
		st := m.Start(now)
		actions := st.Actions
		for st.Phase != shutdown.Stopped {
			if !st.NextCheck.After(now) && len(st.Actions) == 0 {
				t.Fatalf("got look at %v without an action, want a time after now", st.NextCheck)
			}
			now = st.NextCheck
			work := func(name string) int { return max(stuck[name], rapid.IntRange(0, 1).Draw(t, name)) }
			in := shutdown.Progress{OwnRequests: work("own"), RunningAtOwned: work("running"), PendingHandovers: work("handovers"), Flushed: work("flush") == 0}
			st = m.Advance(now, in)
			actions = append(actions, st.Actions...)
			if slices.Contains(st.Actions, shutdown.RefuseRequests) && now.Sub(start) > shutdown.MaxBalancerLag {
				t.Fatalf("got requests refused after %v, want at most %v", now.Sub(start), shutdown.MaxBalancerLag)
			}
			ends := slices.Contains(st.Actions, shutdown.RevokePermits) || slices.Contains(st.Actions, shutdown.EndOwnRequests)
			if ends && in.OwnRequests > 0 && now.Sub(start) < 7*time.Second {
				t.Fatalf("got %v after %v with own requests, want to wait", st.Actions, now.Sub(start))
			}
		}
		if got := now.Sub(start); got > 8*time.Second {
			t.Errorf("got %v, want at most 8s", got)
		}
		optional := []shutdown.Action{shutdown.ForceHandover, shutdown.EndOwnRequests}
		certain := slices.DeleteFunc(slices.Clone(actions), func(a shutdown.Action) bool { return slices.Contains(optional, a) })
		if !slices.IsSorted(actions) || len(slices.Compact(actions)) != len(actions) || len(certain) != 9 {
			t.Errorf("got %v, want all actions in order and once", actions)
		}
	})
}
