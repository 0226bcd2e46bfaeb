package upstream_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/result"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/transport/rest"
)

// call searches the shard chiffrage-01 at an upstream over a new connection.
func call(t *testing.T, u *upstream.Upstream) transport.Reply {
	conn, err := rest.New().Connect(context.Background(), u.Address())
	if err != nil {
		return transport.Reply{Code: result.Unreachable}
	}
	defer func() { _ = conn.Close() }()
	return conn.Do(t.Context(), transport.Call{
		RequestID: "r/chiffrage-01", Attempt: 1, Deadline: time.Now().Add(2 * time.Second), Snapshot: 1, Shard: "chiffrage-01", Limit: 5,
	})
}

func control(s *upstream.Set, method, target, body string) string {
	w := httptest.NewRecorder()
	s.ControlHandler().ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return strings.TrimSpace(w.Body.String())
}

// TestServeAll checks over real sockets that the tier's own client understands the stand-in. It guards against
// a restart that keeps the incarnation and against goroutines that Close leaves behind.
func TestServeAll(t *testing.T) {
	defer goleak.VerifyNone(t)
	doc, _ := sample.Config("armor", 21000)
	text, err := sample.YAML(doc)
	if err != nil {
		t.Fatal(err)
	}
	cfg, _ := codec.ParseConfig(text)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	set, err := upstream.ServeAll(cfg, upstream.WithZone("brest-nord"), upstream.WithLoader(sample.Loader),
		upstream.WithBaseSettings(upstream.Settings{ServiceTime: time.Millisecond}),
		upstream.WithListen(func(catalog.Server) standin.ListenFunc { return standin.ListenTCP(loopback) }))
	if err != nil {
		t.Fatal(err)
	}
	defer set.Close()
	u, _ := set.Upstream("chiffrage-01-a")
	before := call(t, u)
	if got, want := before.Code, result.Complete; got != want || len(before.Records) != 5 {
		t.Fatalf("got %v with %d records, want %v with 5", got, len(before.Records), want)
	}
	if got := control(set, "PUT", "/v1/faults?service=chiffrage-01", `{"restart":true}`); got != "" {
		t.Fatal(got)
	}
	after := call(t, u)
	for after.Code != result.Complete {
		after = call(t, u)
	}
	if after.Incarnation == before.Incarnation {
		t.Errorf("got incarnation %s before and after the restart, want a new one", after.Incarnation)
	}
	if got, want := control(set, "PUT", "/v1/faults?zone=nowhere", `{}`), "no upstream of this process is selected"; !strings.Contains(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	totals := set.Totals()
	if totals.Started != 2 || totals.Crashes != 1 || totals.ColdRunningMaximum != 1 {
		t.Errorf("got %+v, want 2 starts, 1 crash and at most 1 running while cold", totals)
	}
}
