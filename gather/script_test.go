package gather_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/gather"
	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// shardResult is the value of a complete attempt.
type found struct {
	records []record.Record
	matched int
}

// harness is a query whose chooser and budget are controlled by a script.
type bench struct {
	query   *gather.Query[found]
	queued  map[string]bool
	hedges  int
	retries int
}

func (b *bench) Choose(_ time.Time, _ *rand.Rand, candidates []string) string { return candidates[0] }

func (b *bench) HedgeDelay(string) time.Duration { return 20 * time.Millisecond }

func (b *bench) MedianLatency(string) time.Duration { return 5 * time.Millisecond }

func (b *bench) HasQueue(server string) bool { return b.queued[server] }
func (b *bench) Earn(string, int)            {}

func (b *bench) AllowHedge(string) bool {
	b.hedges--
	return b.hedges >= 0
}

func (b *bench) AllowRetry(string) bool {
	b.retries--
	return b.retries >= 0
}

// TestScripts runs each file in testdata as one query. It guards against an answer that mixes snapshots or reports the
// wrong coverage, attempts after the end of the query, and attempts beyond the budget.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := &bench{queued: map[string]bool{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return b.run(t, d)
		})
	})
}

func (b *bench) run(t *testing.T, d *datadriven.TestData) string {
	var at int
	d.MaybeScanArgs(t, "at", &at)
	now := start.Add(time.Duration(at) * time.Millisecond)
	switch d.Cmd {
	case "query":
		return b.start(t, d, now)
	case "part":
		return b.part(t, d, now)
	case "wake":
		return describe(b.query.Wake(now))
	case "resume":
		return describe(b.query.Resume(now, d.HasArg("canary"), refusal(d)))
	case "release":
		return describe(b.query.ReleaseRetries(now))
	case "queued":
		b.queued[d.CmdArgs[0].Key] = true
		return ""
	case "answer":
		return describeAnswer(b.query.Answer())
	default:
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
}

func (b *bench) start(t *testing.T, d *datadriven.TestData, now time.Time) string {
	p := gather.Plan{Snapshot: 7, Revision: 1}
	var deadline, wait, coverage int
	d.ScanArgs(t, "deadline", &deadline)
	d.MaybeScanArgs(t, "straggler-wait", &wait)
	d.MaybeScanArgs(t, "coverage", &coverage)
	d.MaybeScanArgs(t, "hedges", &b.hedges)
	d.MaybeScanArgs(t, "retries", &b.retries)
	p.Canary = d.HasArg("canary")
	p.RetriesHeld = d.HasArg("held")
	p.Deadline = now.Add(time.Duration(deadline) * time.Millisecond)
	p.StragglerWait = time.Duration(wait) * time.Millisecond
	p.MinimumCoverage = float64(coverage) / 100
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		sp := gather.ShardPlan{Shard: catalog.Shard{Name: f[0], Group: "g"}, Replicas: f[1:]}
		if f[1] == "zone-out" {
			sp.Replicas, sp.NoReplicaCode = nil, result.ZoneOut
		}
		p.Shards = append(p.Shards, sp)
	}
	b.query = gather.New[found](p, b, b, rand.New(rand.NewPCG(1, 1)))
	return describe(b.query.Start(now))
}

func (b *bench) part(t *testing.T, d *datadriven.TestData, now time.Time) string {
	p := gather.AttemptResult[found]{Number: 1, Code: result.Complete, Snapshot: 7}
	var code string
	d.ScanArgs(t, "shard", &p.Shard)
	d.MaybeScanArgs(t, "attempt", &p.Number)
	d.MaybeScanArgs(t, "snapshot", &p.Snapshot)
	if d.HasArg("code") {
		d.ScanArgs(t, "code", &code)
		p.Code = codeOf(code)
	}
	for _, key := range strings.Fields(d.Input) {
		p.Value.records = append(p.Value.records, record.Record{Key: key})
		p.Value.matched++
	}
	return describe(b.query.HandleResult(now, p))
}

// refusal returns the code that the coordinator refuses a resume with, or 0.
func refusal(d *datadriven.TestData) result.Code {
	if d.HasArg("refused") {
		return result.Quarantined
	}
	return 0
}

func codeOf(name string) result.Code {
	for _, c := range result.Codes() {
		if c.String() == name {
			return c
		}
	}
	return 0
}

func describe(st gather.Step) string {
	var out strings.Builder
	for _, a := range st.Send {
		fmt.Fprintf(&out, "send shard %d attempt %d to %s hedge %t\n", a.Shard, a.Number, a.Server, a.Hedge)
	}
	for _, a := range st.Cancel {
		fmt.Fprintf(&out, "cancel shard %d attempt %d\n", a.Shard, a.Number)
	}
	if st.CanaryOK {
		out.WriteString("canary ok\n")
	}
	if st.NeedsVerdict {
		out.WriteString("ask again\n")
	}
	if !st.WakeAt.IsZero() {
		fmt.Fprintf(&out, "wake at %d\n", st.WakeAt.Sub(start).Milliseconds())
	}
	if st.Done {
		fmt.Fprintf(&out, "done restart %t\n", st.Restart)
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

// recordLimit is the maximum number of records in an answer.
const recordLimit = 3

func describeAnswer(a gather.Answer[found]) string {
	var out strings.Builder
	var parts [][]record.Record
	matched := 0
	for _, p := range a.Values {
		parts = append(parts, p.records)
		matched += p.matched
	}
	fmt.Fprintf(&out, "%s snapshot %d matched %d share %.2f\n", a.Code, a.Snapshot, matched, a.Coverage())
	fmt.Fprintf(&out, "covered %s\n", strings.Join(a.Covered, " "))
	for _, m := range a.Missing {
		fmt.Fprintf(&out, "missing %s: %s\n", m.Shard.Name, m.Code)
	}
	for _, r := range record.Merge(parts, recordLimit) {
		fmt.Fprintf(&out, "record %s\n", r.Key)
	}
	return out.String()
}
