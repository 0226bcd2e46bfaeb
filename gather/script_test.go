package gather_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
type shardResult struct {
	records []record.Record
	matched int
}

// harness is a query whose chooser and budget are controlled by a script.
type harness struct {
	query       *gather.Query[shardResult]
	hasQueue    map[string]bool
	shedUntil   map[string]time.Time
	hedgesLeft  int
	retriesLeft int
}

func (h *harness) Choose(_ time.Time, _ *rand.Rand, candidates []string) string { return candidates[0] }

func (h *harness) HedgeDelay(string) time.Duration { return 20 * time.Millisecond }

func (h *harness) MedianLatency(string) time.Duration { return 5 * time.Millisecond }

func (h *harness) HasQueue(server string) bool { return h.hasQueue[server] }

func (h *harness) ShedLately(now time.Time) bool {
	n, _ := h.Shedding(now, slices.Collect(maps.Keys(h.shedUntil)))
	return n > 0
}

func (h *harness) Shedding(now time.Time, replicas []string) (n int, until time.Time) {
	for _, name := range replicas {
		if at := h.shedUntil[name]; now.Before(at) {
			n++
			if until.IsZero() || at.Before(until) {
				until = at
			}
		}
	}
	return n, until
}

func (h *harness) Credit(string, int) {}

func (h *harness) AllowHedge(string) bool {
	h.hedgesLeft--
	return h.hedgesLeft >= 0
}

func (h *harness) AllowRetry(string) bool {
	h.retriesLeft--
	return h.retriesLeft >= 0
}

// TestScripts runs each file in testdata as one query. It guards against an answer that mixes snapshots or reports the
// wrong coverage, attempts after the end of the query, and attempts beyond the budget. Retries and hedges must not be
// spent on upstreams that have just shed a request while the query can be answered without them, and an attempt that
// waits must neither be hedged nor be reported as one that may have run.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := &harness{hasQueue: map[string]bool{}, shedUntil: map[string]time.Time{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return h.run(t, d)
		})
	})
}

func (h *harness) run(t *testing.T, d *datadriven.TestData) string {
	var at int
	d.MaybeScanArgs(t, "at", &at)
	now := start.Add(time.Duration(at) * time.Millisecond)
	switch d.Cmd {
	case "query":
		return h.start(t, d, now)
	case "part":
		return h.handleResult(t, d, now)
	case "wake":
		return describe(h.query.Wake(now))
	case "resume":
		return describe(h.query.Resume(now, d.HasArg("canary"), refusalCode(d)))
	case "release":
		return describe(h.query.ReleaseRetries(now))
	case "queued":
		h.hasQueue[d.CmdArgs[0].Key] = true
		return ""
	case "shed": // the given upstreams shed a request, which counts for 10 ms
		for _, a := range d.CmdArgs {
			h.shedUntil[a.Key] = now.Add(10 * time.Millisecond)
		}
		return ""
	case "hold": // the first attempt at a shard
		var shard int
		d.ScanArgs(t, "shard", &shard)
		h.query.Hold(shard, 1)
		return ""
	case "place": // the held attempt is released, and the given upstreams have room
		var shard int
		d.ScanArgs(t, "shard", &shard)
		server, st, ok := h.query.Place(now, shard, 1, strings.Fields(d.Input))
		return fmt.Sprintf("placed %t at %q\n%s", ok, server, describe(st))
	case "answer":
		return describeAnswer(h.query.Answer())
	default:
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
}

func (h *harness) start(t *testing.T, d *datadriven.TestData, now time.Time) string {
	p := gather.Plan{Snapshot: 7, Revision: 1}
	var deadline, stragglerWait, coverage int
	d.ScanArgs(t, "deadline", &deadline)
	d.MaybeScanArgs(t, "straggler-wait", &stragglerWait)
	d.MaybeScanArgs(t, "coverage", &coverage)
	d.MaybeScanArgs(t, "hedges", &h.hedgesLeft)
	d.MaybeScanArgs(t, "retries", &h.retriesLeft)
	p.Canary = d.HasArg("canary")
	p.RetriesHeld = d.HasArg("held")
	p.Deadline = now.Add(time.Duration(deadline) * time.Millisecond)
	p.StragglerWait = time.Duration(stragglerWait) * time.Millisecond
	p.MinimumCoverage = float64(coverage) / 100
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		sp := gather.ShardPlan{Shard: catalog.Shard{Name: f[0], Group: "g"}, Replicas: f[1:]}
		if f[1] == "zone-out" {
			sp.Replicas, sp.NoReplicaCode = nil, result.ZoneOut
		}
		p.Shards = append(p.Shards, sp)
	}
	h.query = gather.New[shardResult](p, h, h, rand.New(rand.NewPCG(1, 1)))
	return describe(h.query.Start(now))
}

func (h *harness) handleResult(t *testing.T, d *datadriven.TestData, now time.Time) string {
	res := gather.AttemptResult[shardResult]{Number: 1, Code: result.Complete, Snapshot: 7}
	var code string
	d.ScanArgs(t, "shard", &res.Shard)
	d.MaybeScanArgs(t, "attempt", &res.Number)
	d.MaybeScanArgs(t, "snapshot", &res.Snapshot)
	res.Final = d.HasArg("final")
	if d.HasArg("code") {
		d.ScanArgs(t, "code", &code)
		res.Code = codeOf(code)
	}
	for _, key := range strings.Fields(d.Input) {
		res.Value.records = append(res.Value.records, record.Record{Key: key})
		res.Value.matched++
	}
	return describe(h.query.HandleResult(now, res))
}

// refusalCode returns the code that the coordinator refuses a resume with, or 0.
func refusalCode(d *datadriven.TestData) result.Code {
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

func describeAnswer(a gather.Answer[shardResult]) string {
	var out strings.Builder
	var records [][]record.Record
	matched := 0
	for _, value := range a.Values {
		records = append(records, value.records)
		matched += value.matched
	}
	fmt.Fprintf(&out, "%s snapshot %d matched %d share %.2f\n", a.Code, a.Snapshot, matched, a.Coverage())
	fmt.Fprintf(&out, "covered %s\n", strings.Join(a.Covered, " "))
	for _, m := range a.Missing {
		fmt.Fprintf(&out, "missing %s: %s\n", m.Shard.Name, m.Code)
	}
	for _, r := range record.Merge(records, recordLimit) {
		fmt.Fprintf(&out, "record %s\n", r.Key)
	}
	return out.String()
}
