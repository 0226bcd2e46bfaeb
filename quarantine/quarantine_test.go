package quarantine_test

import (
	"fmt"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"pistachioshore.dev/quarantine"
)

var (
	start   = time.Unix(1000, 0)
	reports = []quarantine.Outcome{quarantine.Succeeded, quarantine.Crashed, quarantine.NotRun}
)

// TestFingerprint guards against two different requests that share a fingerprint.
func TestFingerprint(t *testing.T) {
	a := quarantine.Fingerprint("search", []string{"x", "y"}, []string{"kind"}, 5)
	if got := quarantine.Fingerprint("search", []string{"y", "x"}, []string{"kind"}, 5); got != a {
		t.Errorf("got %x for another order of groups, want %x", got, a)
	}
	for _, groups := range [][]string{{"x"}, {"xy"}, {"", "xy"}, {"x", "y", "kind"}} {
		fields := []string{"x", "y", "kind"}[min(len(groups), 2):]
		if got := quarantine.Fingerprint("search", groups, fields, 5); got == a {
			t.Errorf("got the fingerprint of another request for groups %q and fields %q", groups, fields)
		}
	}
}

// TestScripts guards the verdicts and the times that callers see.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/book", func(t *testing.T, path string) {
		now := start
		s := quarantine.DefaultSettings()
		s.MaxFingerprints = 3
		tab := quarantine.New(s)
		show := func(a quarantine.Decision) string { return fmt.Sprint(" ", a.Verdict, " ", a.Until.Sub(now)) }
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			return regexp.MustCompile(`[^;\n]+`).ReplaceAllStringFunc(d.Input, func(command string) string {
				var cmd, arg string
				fp := uint64(1)
				fmt.Sscan(command, &cmd, &arg, &fp)
				switch cmd {
				case "after":
					wait, _ := time.ParseDuration(arg)
					now = now.Add(wait)
				case "ask":
					within, _ := time.ParseDuration(arg)
					return show(tab.Decide(now, fp, now.Add(within)))
				case "cached":
					got, ok := tab.Lookup(now, fp)
					return fmt.Sprint(show(got)[:8], ok)
				case "good", "refused", "suspect":
					v := map[string]quarantine.Verdict{"good": quarantine.Good, "refused": quarantine.Refused}[cmd]
					tab.ApplyDecision(now, fp, quarantine.Decision{Verdict: v, Until: now.Add(time.Hour)})
				case "counts":
					return fmt.Sprintf(" %+v", tab.Counts())
				default:
					i := slices.IndexFunc(reports, func(r quarantine.Outcome) bool { return r.String() == cmd })
					return show(tab.Report(now, fp, reports[i], arg))
				}
				return " -"
			})
		})
	})
}

// tier is a model of the runs that the verdicts of one table allow.
type tier struct {
	tab      *quarantine.Table
	now      time.Time
	window   time.Duration
	canaries []run
	epoch    int // counts successes and quarantines
	spent    int // crashes, and canary requests that may crash, in the epoch
	crashes  []time.Time
	refused  bool
	expired  time.Time // earliest time at which the last quarantine can have run out
	success  time.Time
	good     time.Time // last time at which ordinary runs could start
	serial   int       // names another upstream for each report
}

// longestStep is short enough for the model to see every quarantine.
const longestStep = 4 * time.Second

type run struct {
	deadline time.Time
	epoch    int
}

// allowed returns 1 while a quarantine that ran out is certain to limit the next crashes.
func (m *tier) allowed() int {
	if m.success.After(m.expired) && m.now.Sub(m.expired) >= m.window {
		return 2
	}
	return 1
}

func (m *tier) check(*rapid.T) {
	m.serial++
	a, _ := m.tab.Lookup(m.now, 1)
	refused := a.Verdict == quarantine.Refused
	switch {
	case refused:
		m.epoch++
		m.spent = 0
		m.crashes = nil
	case m.refused:
		m.expired = m.now.Add(-longestStep)
	case a.Verdict == quarantine.Good:
		m.good = m.now
	}
	m.refused = refused
}

func (m *tier) ask(t *rapid.T) {
	within := time.Duration(rapid.IntRange(10, 2500).Draw(t, "within")) * time.Millisecond
	if a := m.tab.Decide(m.now, 1, m.now.Add(within)); a.Verdict != quarantine.Canary {
		return
	}
	m.spent++
	if m.spent > m.allowed() {
		t.Fatalf("got canary request %d without a success, want at most %d", m.spent, m.allowed())
	}
	m.canaries = append(m.canaries, run{m.now.Add(within), m.epoch})
}

func (m *tier) end(t *rapid.T) {
	i := rapid.IntRange(0, len(m.canaries)).Draw(t, "canary")
	r := rapid.SampledFrom(append(reports, 0)).Draw(t, "report")
	if i == len(m.canaries) {
		return
	}
	c := m.canaries[i]
	m.canaries = slices.Delete(m.canaries, i, i+1)
	if r == 0 || m.now.Sub(c.deadline) > 10*time.Second {
		return // lost
	}
	a := m.tab.Report(m.now, 1, r, fmt.Sprint(m.serial))
	m.refused = a.Verdict == quarantine.Refused // a report may lift a quarantine
	switch {
	case r == quarantine.Succeeded && a.Verdict == quarantine.Good:
		m.success = m.now
		m.epoch++
		m.spent = 0
	case r == quarantine.NotRun && c.epoch == m.epoch:
		m.spent--
	case r == quarantine.Crashed:
		m.crashed(t, a)
	}
}

func (m *tier) ordinary(t *rapid.T) {
	if m.now.Sub(m.good) <= 2500*time.Millisecond {
		m.spent++
		m.crashed(t, m.tab.Report(m.now, 1, quarantine.Crashed, fmt.Sprint(m.serial)))
	}
}

func (m *tier) crashed(t *rapid.T, a quarantine.Decision) {
	m.crashes = append(m.crashes, m.now)
	m.crashes = slices.DeleteFunc(m.crashes, func(at time.Time) bool { return m.now.Sub(at) >= m.window })
	if len(m.crashes) >= m.allowed() && a.Verdict != quarantine.Refused {
		t.Fatalf("got %v after %d crashes, want refused after %d", a.Verdict, len(m.crashes), m.allowed())
	}
}

// TestCrashesAreBounded guards against a third crash before a fingerprint is refused and a second one
// after each expiry, whatever the order of asks and reports, late and lost ones included.
func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := quarantine.Settings{CrashThreshold: 2, QuarantineDuration: 5 * time.Second, GoodTTL: 4 * time.Second, CrashWindow: 6 * time.Second, MaxFingerprints: 1}
		m := &tier{tab: quarantine.New(s), now: start, window: s.CrashWindow, success: start}
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"ask":      m.ask,
			"end":      m.end,
			"ordinary": m.ordinary,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.Int64Range(1, int64(longestStep)).Draw(t, "step")))
			},
		})
	})
}
