package waitlist_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/waitlist"
)

// TestScripts guards against an order that ignores priorities or the time left to the target, against a kind of request
// that is never released, against requests that wait although they cannot meet their deadlines, and against a refusal of
// the more urgent of two requests.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			start := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
			var limit, interval, step int
			d.ScanArgs(t, "limit", &limit)
			d.ScanArgs(t, "interval", &interval)
			d.ScanArgs(t, "step", &step)
			l := waitlist.New[string](ms(interval))
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				f := strings.Fields(line)
				var at int
				fmt.Sscan(f[0], &at)
				out.WriteString(run(t, l, start, start.Add(ms(at)), f[1:], limit, ms(step)))
			}
			return out.String()
		})
	})
}

func ms(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// run executes one command. An offer has a name, a kind, a priority, and the times of target and deadline in ms from the
// start; the work is 5 ms.
func run(t *testing.T, l *waitlist.List[string], start, now time.Time, f []string, limit int, step time.Duration) string {
	switch f[0] {
	case "offer":
		r := waitlist.Request{Kind: f[2], Work: ms(5), AgingStep: step}
		var target, deadline int
		fmt.Sscan(strings.Join(f[3:], " "), &r.Priority, &target, &deadline)
		r.Target, r.Deadline = start.Add(ms(target)), start.Add(ms(deadline))
		d := l.Offer(now, r, f[1], limit)
		switch {
		case d.Refused != waitlist.None:
			return fmt.Sprintf("%s refused %v, retry after %v\n", f[1], d.Refused, d.RetryAfter)
		case d.Displaced != nil:
			return fmt.Sprintf("%s waits, %s refused %v\n", f[1], d.Displaced.Item, waitlist.Displaced)
		}
		return ""
	case "next":
		ready := func(name string) bool { return len(f) == 1 || name != f[2] } // "next without NAME"
		if w := l.Next(now, ready); w != nil {
			return w.Item + "\n"
		}
		return "nothing\n"
	case "expire":
		var out strings.Builder
		for _, w := range l.Expire(now) {
			out.WriteString(w.Item + " expired\n")
		}
		return out.String() + fmt.Sprintf("%d wait\n", l.Len())
	default:
		t.Fatalf("unknown command %q", f[0])
		return ""
	}
}
