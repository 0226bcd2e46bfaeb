package freshness_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/freshness"
)

// TestScripts guards against requests with a withdrawn key that run after the bound, when a VM is cut off from the store or
// from other VMs, when the VM that it asks is killed, suspended or behind, or when an answer is held back; and against a VM
// that refuses such requests although it can prove that it knows all withdrawals.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/freshness.txt", func(t *testing.T, d *datadriven.TestData) string {
		tab := freshness.New(freshness.Settings{Bound: 5 * time.Second})
		if d.HasArg("unbounded") {
			tab = freshness.New(freshness.Settings{})
		}
		follows := !d.HasArg("reader")
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			f := strings.Fields(line)
			var ms, n, age int
			fmt.Sscan(f[0], &ms)
			if len(f) > 2 {
				fmt.Sscan(f[2], &n)
			}
			if len(f) > 3 {
				fmt.Sscan(f[3], &age)
			}
			now := time.Duration(ms) * time.Millisecond
			switch f[1] {
			case "read": // of the store, that began at the given time
				tab.Confirm(time.Duration(n) * time.Millisecond)
			case "ask": // among a number of VMs
				sequence, to, ok := tab.Ask(now, follows, n)
				fmt.Fprintf(&out, "%d ask: %t, question %d to VM %d\n", ms, ok, sequence, to)
			case "answer": // to a question, with an age in ms; "behind" if the VM lacks changes that the other one has
				tab.Answer(uint64(n), time.Duration(age)*time.Millisecond, len(f) < 5)
			case "show":
				known, ok := tab.Age(now)
				fmt.Fprintf(&out, "%d current %t, age %v %t, read the store %t\n", ms, tab.Current(now), known, ok, tab.ShouldRead(now, follows))
			default:
				t.Fatalf("unknown command %q", f[1])
			}
		}
		return out.String()
	})
}

// TestNoLateUse guards against a proof that holds longer than the bound after the configuration was current. For every time of
// a withdrawal and every delay of question and answer, a VM that asked another one must not count as current later than the
// bound after a withdrawal that the other one did not know.
func TestNoLateUse(t *testing.T) {
	const step = 100 * time.Millisecond
	const bound = 5 * time.Second
	for read := time.Duration(0); read < 2*time.Second; read += step { // of the store by the other VM
		for asked := read; asked < read+4*time.Second; asked += 3 * step {
			for arrived := asked; arrived < asked+3*time.Second; arrived += 4 * step { // of the question
				other := freshness.New(freshness.Settings{Bound: bound})
				other.Confirm(read)
				tab := freshness.New(freshness.Settings{Bound: bound})
				sequence, _, _ := tab.Ask(asked, true, 1)
				age, _ := other.Age(arrived)
				tab.Answer(sequence, age, true)
				withdrawn := read + time.Millisecond // the earliest withdrawal that the other VM does not know
				if got := tab.Current(withdrawn + bound); got {
					t.Fatalf("read %v, asked %v, arrived %v: got current %v after a withdrawal, want not", read, asked, arrived, bound)
				}
			}
		}
	}
}
