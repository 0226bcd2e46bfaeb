package telemetry

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/propagation"

	"pistachioshore.dev/result"
)

func testOptions() Options {
	o := DefaultOptions()
	o.VM, o.Zone = netip.MustParseAddrPort("127.0.0.1:7000"), "brest-nord"
	return o
}

// TestPage guards that each counted event reaches the Prometheus page under its name and code.
func TestPage(t *testing.T) {
	scope, page, closer, err := NewMetrics(testOptions())
	if err != nil {
		t.Fatal(err)
	}
	c := NewCounters(scope)
	c.RecordAnswer(result.Partial)
	c.RecordRefusal(result.Overloaded)
	c.RecordRefusal(result.Code(9))
	c.RecordRejectedConfig(result.OutOfRange)
	c.RecordSubRequests(7)
	c.RecordPause(1500 * time.Millisecond)
	c.RecordOwnershipGained()
	for _, count := range []func(){c.RecordHedge, c.RecordRetry, c.RecordStaleResult, c.RecordSuspectedCrash, c.RecordOwnershipLost, c.RecordReplacedConnection, c.RecordFailedPlatformRead} {
		count()
		count()
	}
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	page.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	vm := `vm="127.0.0.1:7000",zone="brest-nord"} `
	for _, want := range []string{
		`answers{code="101",effect="ran",result="partial",` + vm + "1",
		`answers{code="100",effect="ran",result="complete",` + vm + "0",
		`refusals{code="301",effect="not-run",result="overloaded",` + vm + "1",
		`refusals{code="600",effect="may-have-run",result="internal",` + vm + "1",
		`configurations_refused{code="203",effect="not-run",result="out-of-range",` + vm + "1",
		`ownership_changes{change="gained",` + vm + "1",
		`ownership_changes{change="lost",` + vm + "2",
		"sub_requests{" + vm + "7", "hedges{" + vm + "2", "retries{" + vm + "2",
		"parts_of_another_snapshot{" + vm + "2", "suspected_crashes{" + vm + "2", "connections_replaced{" + vm + "2",
		"platform_reads_failed{" + vm + "2", "pauses{" + vm + "1", "paused_milliseconds{" + vm + "1500",
	} {
		if !strings.Contains(w.Body.String(), "\npistachio_"+want+"\n") {
			t.Errorf("the page lacks %s", want)
		}
	}
	if !strings.Contains(w.Body.String(), "\nprocess_cpu_seconds_total ") {
		t.Error("the page lacks the processor time")
	}
}

// TestTraceFile guards that a span of a caller's trace reaches the file and goes on to the next hop.
func TestTraceFile(t *testing.T) {
	o := testOptions()
	o.TraceExporter, o.TracePath = TraceFile, t.TempDir()+"/trace.json"
	ctx := context.Background()
	provider, propagator, shutdown, err := NewTracer(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	ctx = propagator.Extract(ctx, propagation.MapCarrier{"traceparent": "00-" + trace + "-00f067aa0ba902b7-01"})
	ctx, span := provider.Tracer("entry").Start(ctx, "query")
	next := propagation.MapCarrier{}
	propagator.Inject(ctx, next)
	span.End()
	if err := shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(o.TracePath)
	if err != nil || !strings.Contains(string(text), trace) || !strings.Contains(string(text), "brest-nord") {
		t.Errorf("got %s, %v, want a span of trace %s", text, err, trace)
	}
	if got := next["traceparent"]; !strings.Contains(got, trace+"-"+span.SpanContext().SpanID().String()) {
		t.Errorf("next hop: got %q, want the span's context", got)
	}
}

// TestLogger guards the level filter and the fields of a line.
func TestLogger(t *testing.T) {
	o := testOptions()
	o.LogFormat = LogJSON
	var b strings.Builder
	l := NewLogger(&b, o)
	_ = level.Debug(l).Log("msg", "hidden")
	_ = level.Info(l).Log("msg", "shown")
	if got := b.String(); strings.Contains(got, "hidden") || !strings.Contains(got, `"vm":"127.0.0.1:7000","zone":"brest-nord"`) {
		t.Errorf("got %s", got)
	}
	if faults := o.Validate(); len(faults) != 0 {
		t.Errorf("got %v, want valid options", faults)
	}
	bad := Options{LogLevel: "loud", TraceExporter: TraceOTLP, TraceSampleRatio: 2}
	if got := len(bad.Validate()); got != 4 {
		t.Errorf("got %v, want 4 faults", bad.Validate())
	}
}
