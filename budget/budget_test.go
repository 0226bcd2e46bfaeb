package budget_test

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/gather"
)

var _ gather.Budget = (*budget.Attempts)(nil)

// TestScripts guards against hedges and retries beyond their shares, less urgent requests admitted beyond the limit of
// their class, and deadlines of hops and attempts that are too late.
func TestScripts(t *testing.T) {
	attempts, admission := budget.NewAttempts(0.05, 0.1), budget.NewAdmission(10)
	now := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/budget.txt", func(_ *testing.T, d *datadriven.TestData) string {
		return regexp.MustCompile(`[^;\n]+`).ReplaceAllStringFunc(d.Input, func(command string) string {
			var cmd string
			var a, b float64
			fmt.Sscan(command, &cmd, &a, &b)
			x, y := time.Duration(a)*time.Millisecond, time.Duration(b)*time.Millisecond
			n := 0
			switch cmd {
			case "earn":
				attempts.Credit("chiffrage-01", int(a))
			case "hedges":
				n = count(99, func() bool { return attempts.AllowHedge("chiffrage-01") })
			case "retries":
				n = count(99, func() bool { return attempts.AllowRetry("chiffrage-01") })
			case "shares":
				attempts.SetShares(a, b)
			case "limit":
				admission.SetLimit(int(a))
			case "admit":
				n = count(int(b), func() bool { return admission.Admit(catalog.Class(a)) })
			case "done":
				count(int(a), func() bool { admission.Done(catalog.Normal); return true })
				n = admission.InFlight()
			case "cap":
				return " " + budget.CapDeadline(now, x, y).Sub(now).String()
			case "split":
				return " " + budget.HopDeadline(now, now.Add(x), y).Sub(now).String()
			case "attempt":
				return " " + budget.AttemptDeadline(now, now.Add(x)).Sub(now).String()
			case "enough":
				return fmt.Sprint(" ", budget.FitsDeadline(now, now.Add(x), y))
			}
			return fmt.Sprint(" ", n)
		})
	})
}

func count(most int, grant func() bool) int {
	n := 0
	for n < most && grant() {
		n++
	}
	return n
}
