package forward_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"pistachioshore.dev/event"
	"pistachioshore.dev/forward"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// harness is a VM whose upstreams and relay behave as a script says.
type bench struct {
	t        *testing.T
	routes   *route.Store
	replicas *replica.Table
	sender   *sender
	vm       *forward.VM
	version  uint64
	relay    string // how relayed queries end: "answered", "tried" or "none"; empty if there is no relay
	passed   int
}

// Relay answers a relayed query as the script says.
func (b *bench) Relay(_ context.Context, req *forward.Request, l forward.RelayLimits) (forward.Answer, netip.AddrPort, bool) {
	b.passed++
	switch b.relay {
	case "answered":
		return forward.Answer{Code: result.Complete, Stamps: []string{"by-another"}, Records: []byte("xx"), Sharded: true}, netip.AddrPort{}, true
	case "tried":
		req.PriorAttempts = l.MaxAttempts - 1
	}
	return forward.Answer{}, netip.AddrPort{}, false
}

// sender ends attempts by the behaviours of their servers. Each attempt uses the next behaviour in the list, and the
// last one is used for all later attempts.
type sender struct {
	mu         sync.Mutex
	behaviours map[string][]string
	sent       []string
	closed     int
	abandoned  int
	checked    []string
}

// Send calls done immediately, or never if the behaviour is silent.
func (s *sender) Send(a forward.Attempt, done func(forward.AttemptResult)) forward.PendingAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, a.Server.ID)
	list := s.behaviours[a.Server.ID]
	behaviour := "silent"
	if len(list) > 0 {
		behaviour = list[0]
	}
	if len(list) > 1 {
		s.behaviours[a.Server.ID] = list[1:]
	}
	name, body, _ := strings.Cut(behaviour, ":")
	reply := forward.AttemptResult{Response: &forward.Response{Status: 200, Body: []byte(body), Stamp: "by-" + a.Server.ID}}
	switch name {
	case "answer":
		reply.Code, reply.Outcome = result.Complete, replica.Succeeded
	case "error":
		reply.Code, reply.Outcome = result.UpstreamFailed, replica.Failed
		reply.Response.Status = 500
	case "shed":
		reply = forward.AttemptResult{Code: result.UpstreamShed, Outcome: replica.Shed}
	case "lost":
		reply = forward.AttemptResult{Code: result.ConnectionLost, Outcome: replica.ConnectionLost}
	case "refuse":
		reply = forward.AttemptResult{Code: result.Unreachable, Outcome: replica.ConnectionRefused}
	default:
		return pending{s}
	}
	done(reply)
	return pending{s}
}

// CheckHealth records the zone and path of a health check and reports success.
func (s *sender) CheckHealth(server route.Server, path string, done func(bool)) {
	s.mu.Lock()
	s.checked = append(s.checked, server.Zone+" "+path)
	s.mu.Unlock()
	done(true)
}

type pending struct {
	s *sender
}

// Abandon counts the call.
func (p pending) Abandon(time.Duration) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.abandoned++
}

// Cancel counts the call.
func (p pending) Cancel() {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.closed++
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, routes: route.NewStore(), sender: &sender{behaviours: map[string][]string{}}}
	b.replicas = replica.New(replica.Settings{Zone: "brest-nord"})
	s := forward.Settings{RetryRatio: 0.2, RetryBurst: 52, MaxInFlight: 8, Workers: 2}
	b.vm = forward.New(s, b.routes, b.replicas, b.sender, event.Discard{})
	return b
}

// TestScripts guards against wrong answers when upstreams fail, shed, lose the connection or do not respond, and
// against attempts beyond the limits of the route and the retry budget.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := newBench(t)
		defer b.vm.Close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "config":
				b.config(d.Input)
				return ""
			case "servers":
				b.servers(d.Input)
				return ""
			case "serve":
				return b.serve(d)
			case "relay":
				b.relay = strings.TrimSpace(d.Input)
				b.vm.SetRelay(b)
				return ""
			case "refuse":
				b.vm.RefuseNew()
				return ""
			default:
				t.Fatalf("unknown command %q", d.Cmd)
				return ""
			}
		})
	})
}

// config installs routes. Each line has a name, a kind (idempotent or not), the target latency in ms, the maximum
// number of attempts, the minimum coverage and the services.
func (b *bench) config(input string) {
	b.version++
	var routes []route.Route
	services := map[string]route.Service{}
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		var name, kind string
		var target, attempts int
		var coverage float64
		fmt.Sscan(line, &name, &kind, &target, &attempts, &coverage)
		names := strings.Fields(line)[5:]
		r := route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: kind == "idempotent", MaxAttempts: attempts,
			TargetLatency: time.Duration(target) * time.Millisecond, Timeout: 2 * r0, MinCoverage: coverage, TopK: 2,
		}
		if coverage > 0 {
			r.Shards = names
		} else {
			r.Targets = []route.Target{{Service: names[0], Weight: 1}}
		}
		routes = append(routes, r)
		for _, n := range names {
			services[n] = route.Service{Name: n, HealthPath: "/health"}
		}
	}
	var list []route.Service
	for _, s := range services {
		list = append(list, s)
	}
	b.routes.Accept(time.Now(), route.NewConfig(b.version, routes, list, route.Limits{}))
}

// halfTimeout is half of the timeout of the routes.
const r0 = 150 * time.Millisecond

// servers adds servers. Each line has an ID, a service, a zone and a list of behaviours.
func (b *bench) servers(input string) {
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		b.replicas.Put(time.Now(), route.Server{
			ID: f[0], Service: f[1], Zone: f[2], Slots: 3, Address: netip.MustParseAddrPort("10.1.0.1:80"),
		})
		b.sender.behaviours[f[0]] = f[3:]
	}
}

// serve serves one request and prints the answer and the servers that it was sent to.
func (b *bench) serve(d *datadriven.TestData) string {
	path := d.CmdArgs[0].Key
	b.sender.mu.Lock()
	b.sender.sent, b.sender.closed, b.sender.abandoned = nil, 0, 0
	b.sender.mu.Unlock()
	ctx := context.Background()
	if d.HasArg("leave") {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
	}
	now := time.Now()
	req := &forward.Request{
		ID: "id", Method: "GET", Target: path, Path: path, Host: "h", ReceivedAt: now, Deadline: now.Add(time.Second), Relayed: d.HasArg("relayed"),
	}
	d.MaybeScanArgs(b.t, "version", &req.MinConfigVersion)
	if d.HasArg("held") {
		req.Confirmed = make(chan struct{})
	}
	b.passed = 0
	out := b.describe(b.vm.Serve(ctx, req))
	if b.relay != "" {
		out += fmt.Sprintf("passed on %d times\n", b.passed)
	}
	return out
}

func (b *bench) describe(a forward.Answer) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%v retry-after %t", a.Code, a.RetryAfter > 0)
	if a.Sharded {
		slices.Sort(a.Stamps)
		fmt.Fprintf(&out, " missing %d stamps %v records %q", a.Missing, a.Stamps, a.Records)
	}
	if a.Response != nil {
		fmt.Fprintf(&out, " status %d body %q stamp %s", a.Response.Status, a.Response.Body, a.Response.Stamp)
	}
	b.sender.mu.Lock()
	defer b.sender.mu.Unlock()
	slices.Sort(b.sender.sent)
	fmt.Fprintf(&out, "\nsent to %v, closed %d, abandoned %d\n", b.sender.sent, b.sender.closed, b.sender.abandoned)
	return out.String()
}

// TestIsolated guards against a VM that stays in the load balancer's rotation although all upstreams of a shard are in
// an unreachable zone, and against one that does not return after a successful health check.
func TestIsolated(t *testing.T) {
	b := newBench(t)
	defer b.vm.Close()
	b.config("look idempotent 40 2 1 s1 s2")
	b.servers("a s1 brest-nord answer:x\nb s2 angers-est silent")
	if b.vm.Isolated(time.Now()) {
		t.Error("got isolated before any request, want not")
	}
	for range 6 {
		b.vm.Serve(context.Background(), &forward.Request{ID: "id", Target: "/look/1", Path: "/look/1", Host: "h", ReceivedAt: time.Now()})
	}
	if !b.vm.Isolated(time.Now()) {
		t.Error("got not isolated, want isolated: nothing answers in angers-est, which holds all of s2")
	}
	if b.vm.Isolated(time.Now()) {
		t.Error("got isolated after a health check was answered, want not")
	}
	if got := b.sender.checked; len(got) != 1 || got[0] != "angers-est /health" {
		t.Errorf("got checks %q, want one in angers-est", got)
	}
}
