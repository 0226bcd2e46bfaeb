package audit

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
	"pistachioshore.dev/standin/sample"
)

// TestScripts guards against a check that misses a violation of its property or reports a correct history. Each line of
// a script is a call or an event. A line without arguments is correct; its arguments cause the violations.
func TestScripts(t *testing.T) {
	doc, _ := sample.Config("hronec", 21000, sample.WithSnapshots(1, 2))
	text, err := sample.YAML(doc)
	if err != nil {
		t.Fatal(err)
	}
	cfg, _ := codec.ParseConfig(text)
	datadriven.RunTest(t, "testdata/checks.txt", func(t *testing.T, d *datadriven.TestData) string {
		b := &historyBuilder{t: t, upstream: UpstreamCounts{Name: "u", Zone: "z", ColdLimit: 1, ConnectionLimit: 25}}
		b.recorder = NewRecorder(History{Catalog: cfg, Records: sample.Records, SnapshotOf: sample.SnapshotOf})
		for line := range strings.Lines(d.Input) {
			b.addLine(cfg, line)
		}
		found := New(b.recorder.History([]UpstreamCounts{b.upstream})).CheckAll()
		out := ""
		for _, v := range found {
			out += v.String() + "\n"
		}
		return out + fmt.Sprintf("%d violations\n", len(found))
	})
}

// historyBuilder builds a history from the lines of a script.
type historyBuilder struct {
	t        *testing.T
	args     *datadriven.TestData
	recorder *Recorder
	upstream UpstreamCounts
}

func (b *historyBuilder) addLine(cfg *catalog.Config, line string) {
	cmd, args, err := datadriven.ParseLine(line)
	if err != nil {
		b.t.Fatal(err)
	}
	b.args = &datadriven.TestData{Cmd: cmd, CmdArgs: args}
	sent := timeAt(arg(b, "at", 0))
	vm := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(arg(b, "vm", 1)))
	switch cmd {
	case "query":
		b.addQuery(cfg, b.newCall(sent, vm, "r1", result.Complete))
	case "order":
		c := b.newCall(sent, vm, "o1", result.Executed)
		b.recorder.RecordOrder(Order{
			Call: c, PermitID: arg(b, "permit", "p1"), Operation: "order", Key: arg(b, "key", "k1"), Quantity: 1, Receipt: arg(b, "receipt", "x1"),
		})
	case "effect":
		b.upstream.Effects = append(b.upstream.Effects, Effect{
			RequestID: arg(b, "request", "o1"), Operation: "order", Key: arg(b, "key", "k1"), Quantity: 1, Receipt: arg(b, "receipt", "x1"), At: sent,
		})
	case "start":
		b.addStart(arg(b, "request", "r9/s"), "s", 1)
	case "refused":
		b.upstream.RefusedArrivals = append(b.upstream.RefusedArrivals, Arrival{RequestID: "r8", At: sent})
	case "upstream":
		b.upstream.PeakConnections, b.upstream.ConnectionsOverLimit, b.upstream.DroppedEntries = arg(b, "connections", 25), arg(b, "over", 0), arg(b, "dropped", 0)
	case "crash":
		b.upstream.PoisonCrashes = append(b.upstream.PoisonCrashes, Crash{At: sent, RequestID: "r", Fingerprint: arg(b, "fingerprint", "f")})
	case "zone-out":
		b.recorder.RecordDrain(Drain{Property: ZoneDrain, Zone: "z", From: sent, To: sent.Add(10 * time.Second)})
	case "drain":
		b.recorder.RecordDrain(Drain{Property: UpstreamDrain, Upstream: "u", From: sent})
	case "sight":
		b.recorder.RecordRevision(RevisionObservation{VM: vm, SentAt: sent, ReturnedAt: sent.Add(time.Millisecond), Revision: uint64(arg(b, "revision", 1))})
	case "publish":
		b.recorder.RecordPublication(Publication{Revision: uint64(arg(b, "revision", 1)), At: sent, UnreachableVMs: []netip.AddrPort{netip.AddrPortFrom(netip.IPv4Unspecified(), 9)}})
	case "stop":
		b.recorder.RecordShutdown(PlannedShutdown{VM: vm, From: sent, To: sent.Add(8 * time.Second)})
	default:
		b.t.Fatalf("unknown line %q", line)
	}
}

func (b *historyBuilder) newCall(sent time.Time, vm netip.AddrPort, request string, code result.Code) Call {
	return Call{
		Caller: arg(b, "caller", "ann"), VM: vm, SentAt: sent, ReturnedAt: sent.Add(time.Second),
		RequestID: arg(b, "request", request), Code: result.Code(arg(b, "code", int(code))), NotSent: b.args.HasArg("not-sent"),
	}
}

// addQuery adds an answer from two shards and the starts that it needs.
func (b *historyBuilder) addQuery(cfg *catalog.Config, c Call) {
	q := Query{Call: c, Groups: []string{"cert-archive", "pitch-stock"}, Limit: arg(b, "limit", 0)}
	if !c.Code.HasAnswer() {
		b.recorder.RecordQuery(q)
		return
	}
	q.Filter.Contains = arg(b, "contains", "")
	shards, _ := cfg.Shards(1, q.Groups)
	q.Answer = &Answer{Snapshot: uint64(arg(b, "snapshot", 1)), Revision: 1}
	var all []record.Record
	for i, s := range shards {
		b.addStart(c.RequestID+"/"+s.Name, s.Name, uint64(arg(b, "started", 1)))
		all = append(all, sample.Records(s, uint64(arg(b, "records", 1)))...)
		if i < arg(b, "covered", len(shards)) {
			q.Answer.Covered = append(q.Answer.Covered, s.Name)
		}
	}
	q.Answer.Records, q.Answer.Matched = record.Select(all, record.Filter{Contains: arg(b, "found", q.Filter.Contains)}, q.Limit)
	if b.args.HasArg("missing") {
		q.Answer.Missing = append(q.Answer.Missing, shards[1].Name)
	}
	if drop := arg(b, "drop", 0); drop > 0 {
		q.Answer.Records = slices.Delete(q.Answer.Records, 0, drop)
	}
	if b.args.HasArg("swap") {
		slices.Reverse(q.Answer.Records)
	}
	if b.args.HasArg("modify") {
		q.Answer.Records[0].Quantity++
	}
	b.recorder.RecordQuery(q)
}

func (b *historyBuilder) addStart(request, shard string, snapshot uint64) {
	b.upstream.Starts = append(b.upstream.Starts, Start{
		RequestID: request, Shard: shard, Snapshot: snapshot, At: timeAt(arg(b, "at", 0)), InFlight: arg(b, "running", 1),
		Cold: b.args.HasArg("cold"), Served: !b.args.HasArg("unserved"),
	})
}

// timeAt returns the time of a script line from its offset in seconds.
func timeAt(seconds int) time.Time {
	return time.Unix(int64(seconds), 0)
}

// arg returns an argument of the current line, or value if it is absent.
func arg[T any](b *historyBuilder, key string, value T) T {
	b.args.MaybeScanArgs(b.t, key, &value)
	return value
}
