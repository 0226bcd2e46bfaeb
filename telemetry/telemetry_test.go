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

// TestMetricsPage guards against events that the metrics page lacks or shows under a wrong name or code.
func TestMetricsPage(t *testing.T) {
	scope, handler, closer, err := NewMetrics(testOptions())
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
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	vmLabels := `vm="127.0.0.1:7000",zone="brest-nord"} `
	for _, want := range []string{
		`answers{code="101",effect="ran",result="partial",` + vmLabels + "1",
		`answers{code="100",effect="ran",result="complete",` + vmLabels + "0",
		`refusals{code="301",effect="not-run",result="overloaded",` + vmLabels + "1",
		`refusals{code="600",effect="may-have-run",result="internal",` + vmLabels + "1",
		`configurations_refused{code="203",effect="not-run",result="out-of-range",` + vmLabels + "1",
		`ownership_changes{change="gained",` + vmLabels + "1",
		`ownership_changes{change="lost",` + vmLabels + "2",
		"sub_requests{" + vmLabels + "7", "hedges{" + vmLabels + "2", "retries{" + vmLabels + "2",
		"parts_of_another_snapshot{" + vmLabels + "2", "suspected_crashes{" + vmLabels + "2", "connections_replaced{" + vmLabels + "2",
		"platform_reads_failed{" + vmLabels + "2", "pauses{" + vmLabels + "1", "paused_milliseconds{" + vmLabels + "1500",
	} {
		if !strings.Contains(w.Body.String(), "\npistachio_"+want+"\n") {
			t.Errorf("the page lacks %s", want)
		}
	}
	if !strings.Contains(w.Body.String(), "\nprocess_cpu_seconds_total ") {
		t.Error("the page lacks the CPU time of the process")
	}
}

// TestTraceFile guards against spans that are not written to the trace file, and against a caller's trace
// context that is not propagated to the next hop.
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

// TestLogger guards against lines below the log level, lines without VM and zone, and invalid options that
// pass validation.
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
