package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/event"
	"pistachioshore.dev/forward"
	"pistachioshore.dev/intake"
	"pistachioshore.dev/relay"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var self = netip.MustParseAddrPort("10.1.0.1:80")

// scriptedVM is a VM whose aggregators behave as a test script specifies.
type scriptedVM struct {
	relay       *relay.Relay
	aggregators *aggregator.Table

	mu         sync.Mutex
	behaviours map[netip.AddrPort]string
	sent       []string
	served     []string
	cancelled  chan struct{} // closed when a held query is cancelled
	paused     bool
	budget     *intake.Budget
	attempts   int      // maximum attempts of the route
	forwarded  []uint64 // IDs of the queries forwarded by the current process
	stale      []uint64 // IDs of the queries forwarded by earlier processes
}

func newScriptedVM() *scriptedVM {
	s := &scriptedVM{behaviours: map[netip.AddrPort]string{}, cancelled: make(chan struct{}), attempts: 2}
	s.aggregators = aggregator.New(aggregator.VM{Address: self, Zone: "a"})
	s.start()
	return s
}

// start starts a process of the VM, which knows nothing of an earlier one.
func (s *scriptedVM) start() {
	s.relay = relay.New(s.aggregators, s, s, event.Discard{}, func() bool { return s.paused })
	s.stale = append(s.stale, s.forwarded...)
	s.forwarded = nil
}

// Connect does nothing.
func (s *scriptedVM) Connect(netip.AddrPort) {}

// Disconnect does nothing.
func (s *scriptedVM) Disconnect(netip.AddrPort) {}

// Send simulates the aggregator that receives the message.
func (s *scriptedVM) Send(vm netip.AddrPort, e *wire.Envelope) bool {
	s.mu.Lock()
	behaviour := s.behaviours[vm]
	if e.QueryForward != nil {
		s.forwarded = append(s.forwarded, e.QueryForward.ID)
	}
	if behaviour != "unconnected" {
		s.sent = append(s.sent, e.Kind+" to "+vm.String())
	}
	s.mu.Unlock()
	switch {
	case e.QueryForward != nil:
		return s.receiveForward(vm, e.QueryForward.ID, behaviour)
	case e.QueryConfirm != nil && (behaviour == "answer" || behaviour == "answer-stale"):
		s.relay.Receive(vm, answer(e.QueryConfirm.ID, result.Complete))
		s.relay.Receive(vm, answer(e.QueryConfirm.ID, result.Late)) // a second answer must be ignored
	case e.QueryConfirm != nil && behaviour == "partial":
		for i := range 2 {
			m := answer(e.QueryConfirm.ID, result.Partial)
			m.QueryResult.More = i == 0
			s.relay.Receive(vm, m)
		}
	case e.QueryConfirm != nil && behaviour == "lost":
		s.relay.ConnectionLost(vm)
	}
	return true
}

// SendAll does nothing, because a query is sent to a single VM.
func (s *scriptedVM) SendAll([]netip.AddrPort, *wire.Envelope) {}

// receiveForward simulates an aggregator that receives a query.
func (s *scriptedVM) receiveForward(vm netip.AddrPort, id uint64, behaviour string) bool {
	switch behaviour {
	case "unconnected":
		return false
	case "answer-stale": // the answers to the queries of earlier processes arrive first
		for _, staleID := range s.stale {
			m := answer(staleID, result.Complete)
			m.QueryResult.Stamps = []string{"stale"}
			s.relay.Receive(vm, m)
		}
		s.relay.Receive(vm, &wire.Envelope{QueryAccept: &wire.QueryAccept{ID: id}})
	case "answer", "partial", "lost", "slow":
		s.relay.Receive(vm, &wire.Envelope{QueryAccept: &wire.QueryAccept{ID: id}})
	case "not-ready":
		s.relay.Receive(vm, answer(id, result.NotReady))
	case "broken":
		s.relay.ConnectionLost(vm)
	}
	return true
}

func answer(id uint64, code result.Code) *wire.Envelope {
	return &wire.Envelope{QueryResult: &wire.QueryResult{ID: id, Code: int(code), Records: []byte("r"), Stamps: []string{"s"}, Missing: 1}}
}

// Serve answers a query of another VM. It first waits for the confirmation on a path that ends in /confirm, and for
// cancellation on one that ends in /hold.
func (s *scriptedVM) Serve(ctx context.Context, req *forward.Request) forward.Answer {
	s.mu.Lock()
	s.served = append(s.served, fmt.Sprintf("%s %s of %s shards %v version %d %s", req.Method, req.Path, req.ID, req.Shards, req.ConfigVersion, req.Header.Get("X-Kept")))
	s.mu.Unlock()
	if strings.HasSuffix(req.Path, "/progress") {
		req.OnProgress(forward.Answer{Code: result.Partial, Sharded: true})
	}
	if strings.HasSuffix(req.Path, "/confirm") {
		<-req.Confirmed
	}
	if strings.HasSuffix(req.Path, "/hold") {
		select {
		case <-ctx.Done():
			close(s.cancelled)
			return forward.Answer{Code: result.Cancelled}
		case <-time.After(time.Until(req.Deadline)):
		}
	}
	return forward.Answer{Code: result.Partial, Sharded: true}
}

// TestScripts guards against queries that are answered twice or not at all when the first aggregator does not accept
// them, against a third run, against queries that continue after their client has disconnected, and against answers to
// queries of a killed process that the restarted one takes for answers to its own.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/relay.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := newScriptedVM()
		defer func() { s.relay.Close() }() // the relay of the last process
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			out.WriteString(s.run(t, strings.Fields(line)))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		slices.Sort(s.sent)
		fmt.Fprintf(&out, "sent %v\nserved %v\n", s.sent, s.served)
		return out.String()
	})
}

func (s *scriptedVM) run(t *testing.T, f []string) string {
	switch f[0] {
	case "aggregators": // behaviours of 10.1.0.2 and the following addresses
		var list []aggregator.VM
		for i, behaviour := range f[1:] {
			vm := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(2 + i)}), 80)
			list = append(list, aggregator.VM{Address: vm, Zone: "a"})
			s.behaviours[vm] = behaviour
		}
		s.aggregators.SetAggregators(list)
	case "attempts":
		fmt.Sscan(f[1], &s.attempts)
	case "ask":
		return s.ask(time.Second, time.Second)
	case "ask-until": // ms
		return s.ask(duration(f[1]), time.Second)
	case "leave-after":
		return s.ask(time.Second, duration(f[1]))
	case "pause":
		s.paused = true
	case "budget": // bytes
		n, _ := strconv.ParseInt(f[1], 10, 64) // an invalid number makes the expected output differ
		s.budget = intake.NewBudget(n)
		s.relay.LimitIncoming(s.budget)
	case "returned":
		s.waitFor(t, "the bytes of the query", func() bool { return s.budget.Held() == 0 })
	case "restart": // the process is killed and started again
		s.relay.Close()
		s.start()
	case "query", "cancelled-query", "confirmed-query": // path
		return s.deliverQuery(t, f[0], f[1])
	default:
		t.Fatalf("unknown command %q", f[0])
	}
	return ""
}

func duration(ms string) time.Duration {
	d, _ := time.ParseDuration(ms + "ms") // an invalid number makes the expected output differ
	return d
}

// ask relays one query and returns its outcome.
func (s *scriptedVM) ask(timeout, clientTimeout time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	now := time.Now()
	req := &forward.Request{ID: "id", Method: http.MethodGet, Target: "/a/b", ReceivedAt: now, Deadline: now.Add(timeout)}
	progress := 0
	req.OnProgress = func(forward.Answer) { progress++ }
	a, vm, ok := s.relay.Relay(ctx, req, "a", forward.RelayLimits{ConfigVersion: 7, Deadline: now.Add(timeout), MaxAttempts: s.attempts})
	if !ok {
		return fmt.Sprintf("not passed on, tried %d\n", req.PriorAttempts)
	}
	out := fmt.Sprintf("%v by %v missing %d stamps %v, tried %d\n", a.Code, vm, a.Missing, a.Stamps, req.PriorAttempts)
	if progress > 0 {
		out += fmt.Sprintf("progress %d times\n", progress)
	}
	return out
}

// deliverQuery delivers a query of another VM to this one and waits for its end.
func (s *scriptedVM) deliverQuery(t *testing.T, kind, path string) string {
	from := netip.MustParseAddrPort("10.1.0.9:80")
	m := &wire.QueryForward{
		ID: 5, RequestID: "id", Method: http.MethodGet, Target: path + "?q=1", Left: time.Second, Version: 7, Shards: []byte{0b101, 0, 0b10},
		Header: []wire.HeaderLine{{Name: "X-Kept", Value: "kept"}},
	}
	s.relay.Receive(from, &wire.Envelope{QueryForward: m})
	switch {
	case s.paused:
	case kind == "confirmed-query":
		s.waitFor(t, "the start of the query", func() bool { return len(s.served) > 0 })
		s.relay.Receive(from, &wire.Envelope{QueryConfirm: &wire.QueryConfirm{ID: 5}})
		s.relay.Receive(from, &wire.Envelope{QueryConfirm: &wire.QueryConfirm{ID: 5}}) // a duplicate must have no effect
		s.waitFor(t, "a result", func() bool { return slices.Contains(s.sent, "query-result to "+from.String()) })
	case kind == "cancelled-query":
		s.waitFor(t, "the start of the query", func() bool { return len(s.served) > 0 })
		s.relay.Receive(from, &wire.Envelope{QueryCancel: &wire.QueryCancel{ID: 5}})
		<-s.cancelled
	default:
		s.waitFor(t, "a result", func() bool { return slices.Contains(s.sent, "query-result to "+from.String()) })
	}
	return ""
}

// waitFor waits for a condition to hold, for at most 5 s.
func (s *scriptedVM) waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		met := condition()
		s.mu.Unlock()
		if met {
			return
		}
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("timed out after 5 s waiting for %s", what)
		}
	}
}
