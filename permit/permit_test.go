package permit_test

import (
	"fmt"
	"net/netip"
	"regexp"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"pistachioshore.dev/permit"
	"pistachioshore.dev/result"
)

var issuer = netip.MustParseAddrPort("127.0.0.1:7001")

// TestScripts guards against a wrong decision for a request in any state of its permit.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", runScript)
}

func runScript(t *testing.T, path string) {
	now := time.Unix(1000, 0)
	table := permit.New(issuer, 7, permit.Settings{Lifetime: 30 * time.Second, Retention: time.Minute, MaxPermits: 3})
	datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
		return regexp.MustCompile(`[^;\n]+`).ReplaceAllStringFunc(d.Input, func(command string) string {
			p := permit.Permit{Issuer: issuer, Incarnation: 7, Token: "t"}
			var cmd string
			var n int
			fmt.Sscan(command, &cmd, &p.Sequence, &n, &p.Token, &p.Incarnation)
			switch cmd {
			case "after":
				now = now.Add(time.Duration(p.Sequence) * time.Second)
			case "issue":
				got, err := table.Issue(now, "t")
				return fmt.Sprint(" ", got.Sequence, err)
			case "consume":
				got := table.Consume(now, p, uint64(n))
				return fmt.Sprint(" ", got.Run, got.Wait != nil, got.Outcome, uint16(got.Refusal))
			case "finish":
				table.Finish(now, p, permit.Outcome{Code: result.Code(n)})
			case "revoke":
				return fmt.Sprint(" ", table.RevokeAll(now))
			}
			return " -"
		})
	})
}

// TestAtMostOnce guards against a second execution with the same permit, and against a claim that a request did not run
// when it is running or may have run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := permit.New(issuer, 7, permit.Settings{Lifetime: 3 * time.Second, Retention: 2 * time.Second, MaxPermits: 4})
		var permits, active []permit.Permit
		ran, body := map[uint64]bool{}, map[uint64]uint64{}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(*rapid.T) {
				p, _ := table.Issue(now, "t")
				permits = append(permits, p)
			},
			"consume": func(t *rapid.T) {
				p := rapid.SampledFrom(append(permits, permit.Permit{})).Draw(t, "permit")
				f := rapid.Uint64Range(1, 2).Draw(t, "body")
				d := table.Consume(now, p, f)
				if d.Refusal != 0 && d.Refusal.Effect() == result.NotRun && ran[p.Sequence] && body[p.Sequence] == f {
					t.Fatalf("got %v for permit %d, want no claim that it has not run", d.Refusal, p.Sequence)
				}
				if d.Run && ran[p.Sequence] {
					t.Fatalf("got a second run of permit %d, want none", p.Sequence)
				}
				if d.Run {
					ran[p.Sequence], body[p.Sequence] = true, f
					active = append(active, p)
				}
			},
			"finish": func(t *rapid.T) {
				i := rapid.IntRange(0, len(active)).Draw(t, "active")
				code := rapid.SampledFrom([]result.Code{result.Executed, result.OutcomeUnknown, result.UpstreamShed}).Draw(t, "code")
				if i < len(active) {
					table.Finish(now, active[i], permit.Outcome{Code: code})
					active = append(active[:i], active[i+1:]...)
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) { table.Expire(now) },
			"revoke": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					table.RevokeAll(now)
				}
			},
		})
	})
}
