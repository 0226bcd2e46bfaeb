package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
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
	"pistachioshore.dev/quarantine"
	"pistachioshore.dev/replica"
	"pistachioshore.dev/result"
	"pistachioshore.dev/route"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// harness is a VM whose upstreams and relay behave as a script says.
type harness struct {
	t        *testing.T
	routes   *route.Store
	replicas *replica.Table
	sender   *sender
	vm       *forward.VM
	version  uint64

	mu      sync.Mutex
	zones   map[string]string // how parts for a zone's aggregators end
	idle    bool              // this VM fans out no parts itself
	relayed []string          // parts that were relayed
	// servedAt is the start of the request that is being served.
	servedAt time.Time
}

// Zones returns the zones of the script.
func (h *harness) Zones(time.Time) []string {
	return slices.Sorted(maps.Keys(h.zones))
}

// FansOut reports whether this VM fans out parts itself.
func (h *harness) FansOut() bool { return !h.idle }

// Relay ends a part as the script says: answered, lacking one shard, late (reports that one shard is missing, and never
// ends), broken (reports the same and is lost), failed, tried (one attempt may have been made, and no answer comes) or none.
func (h *harness) Relay(ctx context.Context, req *forward.Request, zone string, l forward.RelayLimits) (forward.Answer, netip.AddrPort, bool) {
	h.mu.Lock()
	h.relayed = append(h.relayed, fmt.Sprint(zone, req.Shards))
	h.mu.Unlock()
	a := forward.Answer{Code: result.Complete, Records: bytes.Repeat([]byte("x"), 16), Sharded: true}
	for _, i := range req.Shards {
		a.Stamps = append(a.Stamps, fmt.Sprint(zone, "-", i))
	}
	switch h.zones[zone] {
	case "lacking", "late", "broken":
		h.waitAnswered()
		a.Code, a.Missing, a.Stamps = result.Partial, 1, a.Stamps[1:]
	case "failed":
		h.waitAnswered()
		a = forward.Answer{Code: result.ConnectionLost, Sharded: true}
	case "panic":
		panic("fault of a relay")
	case "tried":
		req.PriorAttempts = l.MaxAttempts - 1
		return forward.Answer{}, netip.AddrPort{}, false
	case "none":
		return forward.Answer{}, netip.AddrPort{}, false
	}
	if h.zones[zone] == "broken" {
		req.OnProgress(a)
		a = forward.Answer{Code: result.ConnectionLost, Sharded: true}
	}
	if h.zones[zone] == "late" {
		req.OnProgress(a)
		<-ctx.Done()
		a = forward.Answer{Code: result.Cancelled}
	}
	return a, netip.AddrPort{}, true
}

// waitAnswered waits until the servers of this VM's own part have answered, so that the counts do not depend on which
// part ends first.
func (h *harness) waitAnswered() {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for range 1000 {
		now := <-tick.C
		answered := func(id string) bool { return h.replicas.AnsweredWithin(now, id, now.Sub(h.servedAt)) }
		if answered("a") && answered("b") && answered("c") {
			return
		}
	}
}

// sender ends attempts by the behaviours of their servers. Each attempt uses the next behaviour in the list, and the
// last one is used for all later attempts.
type sender struct {
	vm           *forward.VM
	mu           sync.Mutex
	behaviours   map[string][]string
	sent         []string
	closed       int
	abandoned    int
	healthChecks []string
}

// Send calls done immediately, or never if the behaviour is silent.
func (s *sender) Send(a forward.Attempt, done func(forward.AttemptResult)) forward.PendingAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, a.Server.ID)
	behaviours := s.behaviours[a.Server.ID]
	behaviour := "silent"
	if len(behaviours) > 0 {
		behaviour = behaviours[0]
	}
	if len(behaviours) > 1 {
		s.behaviours[a.Server.ID] = behaviours[1:]
	}
	name, body, _ := strings.Cut(behaviour, ":")
	res := forward.AttemptResult{Response: &forward.Response{Status: 200, Body: []byte(body), Stamp: "by-" + a.Server.ID}}
	switch name {
	case "answer":
		res.Code, res.Outcome = result.Complete, replica.Succeeded
	case "reject": // an error status that a client may get unchanged
		res.Code, res.Outcome = result.Complete, replica.Succeeded
		res.Response.Status = 422
	case "panic":
		panic("fault of a sender")
	case "fatal": // loses the connection, and other VMs report three crashes under the same request
		fp := quarantine.Fingerprint(a.Request.Method, nil, []string{a.Request.Host, a.Request.Target, string(a.Request.Body)}, 0)
		for _, id := range []string{"x", "y", "z"} {
			s.vm.RecordCrash(quarantine.Crash{Fingerprint: fp, Upstream: id})
		}
		res = forward.AttemptResult{Code: result.ConnectionLost, Outcome: replica.ConnectionLost}
	case "faulty": // the result causes a panic when it is merged
		res.Code, res.Outcome, res.Response = result.Complete, replica.Succeeded, nil
	case "error":
		res.Code, res.Outcome = result.UpstreamFailed, replica.Failed
		res.Response.Status = 500
	case "shed":
		res = forward.AttemptResult{Code: result.UpstreamShed, Outcome: replica.Shed}
	case "lost":
		res = forward.AttemptResult{Code: result.ConnectionLost, Outcome: replica.ConnectionLost}
	case "rest-meanwhile": // asks for a rest while the attempt waits for a connection
		s.vm.RecordNotice(a.Server, replica.Notice{Rest: 8 * time.Second})
		if !a.MayBeSent() {
			s.sent[len(s.sent)-1] += " withheld"
			res = forward.AttemptResult{Code: result.UpstreamLeaving, Outcome: replica.Abandoned}
			break
		}
		res.Code, res.Outcome = result.Complete, replica.Succeeded
	case "refuse":
		res = forward.AttemptResult{Code: result.Unreachable, Outcome: replica.ConnectionRefused}
	default:
		return pendingAttempt{s}
	}
	done(res)
	return pendingAttempt{s}
}

// CheckHealth records the zone and path of a health check and reports success.
func (s *sender) CheckHealth(server route.Server, path string, _ func() bool, done func(bool)) {
	s.mu.Lock()
	s.healthChecks = append(s.healthChecks, server.Zone+" "+path)
	s.mu.Unlock()
	done(true)
}

// Probe reports that the server has crashed if its next behaviour is to refuse, and otherwise that it accepts connections.
func (s *sender) Probe(server route.Server, _ int, done func(replica.ProbeResult)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.behaviours[server.ID]; len(b) > 0 && b[0] == "refuse" {
		done(replica.ProbeRefused)
		return
	}
	done(replica.ProbeAccepted)
}

type pendingAttempt struct {
	s *sender
}

// Abandon counts the call.
func (p pendingAttempt) Abandon(time.Duration) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.abandoned++
}

// Cancel counts the call.
func (p pendingAttempt) Cancel() {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.closed++
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, zones: map[string]string{}, routes: route.NewStore(), sender: &sender{behaviours: map[string][]string{}}}
	h.replicas = replica.New(replica.Settings{Zone: "brest-nord"})
	s := forward.Settings{Zone: "brest-nord", RetryRatio: 0.2, RetryBurst: 52, MaxInFlight: 8, Workers: 2}
	h.vm = forward.New(s, h.routes, h.replicas, h.sender, event.Discard{})
	h.sender.vm = h.vm
	return h
}

// TestScripts guards against wrong answers when upstreams fail, shed, lose the connection or do not respond, and
// against attempts beyond the limits of the route and the retry budget. Requests that resting upstreams keep from being
// served must be refused at once, with the time at which they can be. An error status, also one below 500, must not count
// as the answer of a shard. The parts that other VMs fan out must be merged into a
// truthful answer, whatever becomes of them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/vm", func(t *testing.T, path string) {
		h := newHarness(t)
		defer h.vm.Close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "config":
				h.config(d.Input)
				return ""
			case "servers":
				h.servers(d.Input)
				return ""
			case "serve":
				return h.serve(d)
			case "relay": // zones with aggregators and how their parts end
				h.zones = map[string]string{}
				for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
					zone, end, _ := strings.Cut(line, " ")
					h.zones[zone] = end
				}
				h.idle = d.HasArg("idle")
				h.vm.SetRelay(h)
				return ""
			case "rest": // a server and the seconds for which it wants no requests
				for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
					var id string
					var seconds int
					fmt.Sscan(line, &id, &seconds)
					h.vm.RecordNotice(route.Server{ID: id}, replica.Notice{Rest: time.Duration(seconds) * time.Second})
				}
				return ""
			case "refuse":
				h.vm.RefuseNew()
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
func (h *harness) config(input string) {
	h.version++
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
			TargetLatency: time.Duration(target) * time.Millisecond, Timeout: 2 * halfTimeout, MinCoverage: coverage, TopK: 2,
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
	h.routes.Accept(time.Now(), route.NewConfig(h.version, routes, list, route.Limits{}))
}

// halfTimeout is half of the timeout of the routes.
const halfTimeout = 150 * time.Millisecond

// servers adds servers. Each line has an ID, a service, a zone and a list of behaviours.
func (h *harness) servers(input string) {
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		h.replicas.Put(time.Now(), route.Server{
			ID: f[0], Service: f[1], Zone: f[2], Slots: 3, Address: netip.MustParseAddrPort("10.1.0.1:80"),
		})
		h.sender.behaviours[f[0]] = f[3:]
	}
}

// serve serves one request and prints the answer and the servers that it was sent to.
func (h *harness) serve(d *datadriven.TestData) string {
	path := d.CmdArgs[0].Key
	h.sender.mu.Lock()
	h.sender.sent, h.sender.closed, h.sender.abandoned = nil, 0, 0
	h.sender.mu.Unlock()
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
	if req.Relayed {
		req.ConfigVersion = h.version
		d.MaybeScanArgs(h.t, "version", &req.ConfigVersion)
		d.MaybeScanArgs(h.t, "shards", &req.Shards)
	}
	if d.HasArg("held") {
		req.Confirmed = make(chan struct{})
	}
	h.relayed, h.servedAt = nil, now
	out := h.describe(h.vm.Serve(ctx, req))
	if len(h.zones) > 0 {
		h.mu.Lock()
		defer h.mu.Unlock()
		slices.Sort(h.relayed)
		out += fmt.Sprintf("relayed %v\n", h.relayed)
	}
	return out
}

func (h *harness) describe(a forward.Answer) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%v retry-after %t", a.Code, a.RetryAfter > 0)
	if a.RetryAfter >= time.Second {
		fmt.Fprintf(&out, " in %v", a.RetryAfter.Round(time.Second))
	}
	if a.Sharded {
		slices.Sort(a.Stamps)
		fmt.Fprintf(&out, " missing %d stamps %v records %q", a.Missing, a.Stamps, a.Records)
	}
	if a.Response != nil {
		fmt.Fprintf(&out, " status %d body %q stamp %s", a.Response.Status, a.Response.Body, a.Response.Stamp)
	}
	h.sender.mu.Lock()
	defer h.sender.mu.Unlock()
	slices.Sort(h.sender.sent)
	fmt.Fprintf(&out, "\nsent to %v, closed %d, abandoned %d\n", h.sender.sent, h.sender.closed, h.sender.abandoned)
	return out.String()
}

// TestIsolated guards against a VM that stays in the load balancer's rotation although all upstreams of a shard are in
// an unreachable zone, and against one that does not return after a successful health check.
func TestIsolated(t *testing.T) {
	h := newHarness(t)
	defer h.vm.Close()
	h.config("look idempotent 40 2 1 s1 s2")
	h.servers("a s1 brest-nord answer:x\nb s2 angers-est silent")
	if h.vm.Isolated(time.Now()) {
		t.Error("got isolated before any request, want not")
	}
	for range 6 {
		h.vm.Serve(context.Background(), &forward.Request{ID: "id", Target: "/look/1", Path: "/look/1", Host: "h", ReceivedAt: time.Now()})
	}
	if !h.vm.Isolated(time.Now()) {
		t.Error("got not isolated, want isolated: nothing answers in angers-est, which holds all of s2")
	}
	if h.vm.Isolated(time.Now()) {
		t.Error("got isolated after a health check was answered, want not")
	}
	if got := h.sender.healthChecks; len(got) != 1 || got[0] != "angers-est /health" {
		t.Errorf("got checks %q, want one in angers-est", got)
	}
}
