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
	start    = time.Unix(1000, 0)
	outcomes = []quarantine.Outcome{quarantine.Succeeded, quarantine.Crashed, quarantine.NotRun}
)

// TestFingerprint guards against equal fingerprints of different requests, and a fingerprint that depends on the order
// of groups.
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

// TestScripts guards against wrong verdicts, and wrong times until which they are valid.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/book", func(t *testing.T, path string) {
		now := start
		s := quarantine.DefaultSettings()
		s.MaxFingerprints = 3
		table := quarantine.New(s)
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
					return show(table.Decide(now, fp, now.Add(within)))
				case "cached":
					got, ok := table.Lookup(now, fp)
					return fmt.Sprint(show(got)[:8], ok)
				case "hold": // another coordinator has allowed the last canary request
					within, _ := time.ParseDuration(arg)
					table.Hold(now, fp, now.Add(within))
				case "exhausted":
					until, ok := table.Exhausted(now, fp)
					if !ok {
						return " no"
					}
					return fmt.Sprint(" ", until.Sub(now))
				case "good", "refused", "suspect":
					v := map[string]quarantine.Verdict{"good": quarantine.Good, "refused": quarantine.Refused}[cmd]
					table.ApplyDecision(now, fp, quarantine.Decision{Verdict: v, Until: now.Add(time.Hour)})
				case "counts":
					return fmt.Sprintf(" %+v", table.Counts())
				default:
					i := slices.IndexFunc(outcomes, func(o quarantine.Outcome) bool { return o.String() == cmd })
					return show(table.Report(now, fp, outcomes[i], arg))
				}
				return " -"
			})
		})
	})
}

// model tracks the runs that the verdicts of one table allow.
type model struct {
	table       *quarantine.Table
	now         time.Time
	window      time.Duration
	canaries    []run
	epoch       int // incremented by each success and quarantine
	crashCount  int // crashes, and canary requests that may crash, in this epoch
	crashes     []time.Time
	refused     bool
	expired     time.Time // earliest time at which the last quarantine can have expired
	lastSuccess time.Time
	lastGood    time.Time // last time at which ordinary runs were allowed to start
	serial      int       // used to name a different upstream in each report
}

// maxStep is shorter than a quarantine, so that the model observes each one.
const maxStep = 4 * time.Second

type run struct {
	deadline time.Time
	epoch    int
}

// allowed returns the number of crashes allowed: 1 while the limit after an expired quarantine is certain to apply, and
// otherwise 2.
func (m *model) allowed() int {
	if m.lastSuccess.After(m.expired) && m.now.Sub(m.expired) >= m.window {
		return 2
	}
	return 1
}

func (m *model) check(*rapid.T) {
	m.serial++
	d, _ := m.table.Lookup(m.now, 1)
	refused := d.Verdict == quarantine.Refused
	switch {
	case refused:
		m.epoch++
		m.crashCount = 0
		m.crashes = nil
	case m.refused:
		m.expired = m.now.Add(-maxStep)
	case d.Verdict == quarantine.Good:
		m.lastGood = m.now
	}
	m.refused = refused
}

func (m *model) ask(t *rapid.T) {
	within := time.Duration(rapid.IntRange(10, 2500).Draw(t, "within")) * time.Millisecond
	if d := m.table.Decide(m.now, 1, m.now.Add(within)); d.Verdict != quarantine.Canary {
		return
	}
	m.crashCount++
	if m.crashCount > m.allowed() {
		t.Fatalf("got canary request %d without a success, want at most %d", m.crashCount, m.allowed())
	}
	m.canaries = append(m.canaries, run{m.now.Add(within), m.epoch})
}

func (m *model) endCanary(t *rapid.T) {
	i := rapid.IntRange(0, len(m.canaries)).Draw(t, "canary")
	outcome := rapid.SampledFrom(append(outcomes, 0)).Draw(t, "report")
	if i == len(m.canaries) {
		return
	}
	c := m.canaries[i]
	m.canaries = slices.Delete(m.canaries, i, i+1)
	if outcome == 0 || m.now.Sub(c.deadline) > 10*time.Second {
		return // the report is lost
	}
	d := m.table.Report(m.now, 1, outcome, fmt.Sprint(m.serial))
	m.refused = d.Verdict == quarantine.Refused // a report may lift a quarantine
	switch {
	case outcome == quarantine.Succeeded && d.Verdict == quarantine.Good:
		m.lastSuccess = m.now
		m.epoch++
		m.crashCount = 0
	case outcome == quarantine.NotRun && c.epoch == m.epoch:
		m.crashCount--
	case outcome == quarantine.Crashed:
		m.recordCrash(t, d)
	}
}

func (m *model) reportOrdinaryCrash(t *rapid.T) {
	if m.now.Sub(m.lastGood) <= 2500*time.Millisecond {
		m.crashCount++
		m.recordCrash(t, m.table.Report(m.now, 1, quarantine.Crashed, fmt.Sprint(m.serial)))
	}
}

func (m *model) recordCrash(t *rapid.T, d quarantine.Decision) {
	m.crashes = append(m.crashes, m.now)
	m.crashes = slices.DeleteFunc(m.crashes, func(at time.Time) bool { return m.now.Sub(at) >= m.window })
	if len(m.crashes) >= m.allowed() && d.Verdict != quarantine.Refused {
		t.Fatalf("got %v after %d crashes, want refused after %d", d.Verdict, len(m.crashes), m.allowed())
	}
}

// TestCrashesAreBounded guards against a third crash before a fingerprint is refused, and against a second crash after
// each quarantine, for any order of decisions and reports, including late and lost reports.
func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := quarantine.Settings{CrashThreshold: 2, QuarantineDuration: 5 * time.Second, GoodTTL: 4 * time.Second, CrashWindow: 6 * time.Second, MaxFingerprints: 1}
		m := &model{table: quarantine.New(s), now: start, window: s.CrashWindow, lastSuccess: start}
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"ask":      m.ask,
			"end":      m.endCanary,
			"ordinary": m.reportOrdinaryCrash,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.Int64Range(1, int64(maxStep)).Draw(t, "step")))
			},
		})
	})
}
