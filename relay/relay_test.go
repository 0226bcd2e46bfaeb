package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"pistachioshore.dev/aggregator"
	"pistachioshore.dev/event"
	"pistachioshore.dev/forward"
	"pistachioshore.dev/relay"
	"pistachioshore.dev/result"
	"pistachioshore.dev/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var self = netip.MustParseAddrPort("10.1.0.1:80")

// bench is a VM whose aggregators behave as a script says.
type bench struct {
	relay  *relay.Relay
	chosen *aggregator.Table

	mu         sync.Mutex
	behaviours map[netip.AddrPort]string
	sent       []string
	served     []string
	held       chan struct{} // closed when a held query may end
	paused     bool
	attempts   int // of the route
}

func newBench() *bench {
	b := &bench{behaviours: map[netip.AddrPort]string{}, held: make(chan struct{}), attempts: 2}
	b.chosen = aggregator.New(aggregator.VM{Address: self, Zone: "a"})
	b.relay = relay.New(b.chosen, b, b, event.Discard{}, func() bool { return b.paused })
	return b
}

// Connect does nothing.
func (b *bench) Connect(netip.AddrPort) {}

// Forget does nothing.
func (b *bench) Forget(netip.AddrPort) {}

// Send plays the aggregator that a message goes to.
func (b *bench) Send(vm netip.AddrPort, e *wire.Envelope) bool {
	b.mu.Lock()
	behaviour := b.behaviours[vm]
	if behaviour != "unconnected" {
		b.sent = append(b.sent, e.Kind+" to "+vm.String())
	}
	b.mu.Unlock()
	switch {
	case e.QueryForward != nil:
		return b.take(vm, e.QueryForward.ID, behaviour)
	case e.QueryConfirm != nil && behaviour == "answer":
		b.relay.Receive(vm, answer(e.QueryConfirm.ID, result.Complete))
		b.relay.Receive(vm, answer(e.QueryConfirm.ID, result.Late)) // a second answer is dropped
	case e.QueryConfirm != nil && behaviour == "lost":
		b.relay.ConnectionLost(vm)
	}
	return true
}

// SendAll does nothing; queries go to one VM.
func (b *bench) SendAll([]netip.AddrPort, *wire.Envelope) {}

// take plays an aggregator that gets a query.
func (b *bench) take(vm netip.AddrPort, id uint64, behaviour string) bool {
	switch behaviour {
	case "unconnected":
		return false
	case "answer", "lost", "slow":
		b.relay.Receive(vm, &wire.Envelope{QueryAccept: &wire.QueryAccept{ID: id}})
	case "not-ready":
		b.relay.Receive(vm, answer(id, result.NotReady))
	case "broken":
		b.relay.ConnectionLost(vm)
	}
	return true
}

func answer(id uint64, code result.Code) *wire.Envelope {
	return &wire.Envelope{QueryResult: &wire.QueryResult{ID: id, Code: int(code), Records: []byte("r"), Stamps: []string{"s"}, Missing: 1}}
}

// Serve answers a query of another VM once it may end, or at once for a path that says so.
func (b *bench) Serve(ctx context.Context, req *forward.Request) forward.Answer {
	b.mu.Lock()
	b.served = append(b.served, fmt.Sprintf("%s %s of %s version %d %s", req.Method, req.Path, req.ID, req.MinConfigVersion, req.Header.Get("X-Kept")))
	b.mu.Unlock()
	if strings.HasSuffix(req.Path, "/confirm") {
		<-req.Confirmed
	}
	if strings.HasSuffix(req.Path, "/hold") {
		select {
		case <-ctx.Done():
			close(b.held)
			return forward.Answer{Code: result.Cancelled}
		case <-time.After(time.Until(req.Deadline)):
		}
	}
	return forward.Answer{Code: result.Partial, Sharded: true}
}

// TestScripts guards that a query is answered once, by another aggregator or the VM itself where the first one
// does not take it, that no third run starts, and that a client that leaves ends it everywhere.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/relay.txt", func(t *testing.T, d *datadriven.TestData) string {
		b := newBench()
		defer b.relay.Close()
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			out.WriteString(b.run(t, strings.Fields(line)))
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		slices.Sort(b.sent)
		fmt.Fprintf(&out, "sent %v\nserved %v\n", b.sent, b.served)
		return out.String()
	})
}

func (b *bench) run(t *testing.T, f []string) string {
	switch f[0] {
	case "aggregators": // behaviours of 10.1.0.2 and the following
		var list []aggregator.VM
		for i, behaviour := range f[1:] {
			vm := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(2 + i)}), 80)
			list = append(list, aggregator.VM{Address: vm, Zone: "a"})
			b.behaviours[vm] = behaviour
		}
		b.chosen.SetAggregators(list)
	case "attempts":
		fmt.Sscan(f[1], &b.attempts)
	case "ask":
		return b.ask(time.Second, time.Second)
	case "ask-until": // ms
		return b.ask(duration(f[1]), time.Second)
	case "leave-after":
		return b.ask(time.Second, duration(f[1]))
	case "pause":
		b.paused = true
	case "query", "cancelled-query", "confirmed-query": // path
		return b.query(t, f[0], f[1])
	default:
		t.Fatalf("unknown command %q", f[0])
	}
	return ""
}

func duration(ms string) time.Duration {
	d, _ := time.ParseDuration(ms + "ms") // a script with another text fails its expectation
	return d
}

// ask passes one query on.
func (b *bench) ask(left, stay time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	now := time.Now()
	req := &forward.Request{ID: "id", Method: http.MethodGet, Target: "/a/b", ReceivedAt: now, Deadline: now.Add(left)}
	a, vm, ok := b.relay.Relay(ctx, req, forward.RelayLimits{MinConfigVersion: 7, Deadline: now.Add(left), MaxAttempts: b.attempts})
	if !ok {
		return fmt.Sprintf("not passed on, tried %d\n", req.PriorAttempts)
	}
	return fmt.Sprintf("%v by %v missing %d stamps %v, tried %d\n", a.Code, vm, a.Missing, a.Stamps, req.PriorAttempts)
}

// query has this VM answer a query of another one.
func (b *bench) query(t *testing.T, kind, path string) string {
	from := netip.MustParseAddrPort("10.1.0.9:80")
	m := &wire.QueryForward{
		ID: 5, RequestID: "id", Method: http.MethodGet, Target: path + "?q=1", Left: time.Second, Version: 7,
		Header: []wire.HeaderLine{{Name: "X-Kept", Value: "kept"}},
	}
	b.relay.Receive(from, &wire.Envelope{QueryForward: m})
	switch {
	case b.paused:
	case kind == "confirmed-query":
		b.until(t, "the start of the query", func() bool { return len(b.served) > 0 })
		b.relay.Receive(from, &wire.Envelope{QueryConfirm: &wire.QueryConfirm{ID: 5}})
		b.relay.Receive(from, &wire.Envelope{QueryConfirm: &wire.QueryConfirm{ID: 5}}) // a second one does no harm
		b.until(t, "a result", func() bool { return slices.Contains(b.sent, "query-result to "+from.String()) })
	case kind == "cancelled-query":
		b.until(t, "the start of the query", func() bool { return len(b.served) > 0 })
		b.relay.Receive(from, &wire.Envelope{QueryCancel: &wire.QueryCancel{ID: 5}})
		<-b.held
	default:
		b.until(t, "a result", func() bool { return slices.Contains(b.sent, "query-result to "+from.String()) })
	}
	return ""
}

// until waits until a condition on the bench holds, for 5 s at most.
func (b *bench) until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	end := time.After(5 * time.Second)
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	for {
		b.mu.Lock()
		held := holds()
		b.mu.Unlock()
		if held {
			return
		}
		select {
		case <-look.C:
		case <-end:
			t.Fatalf("got no sign of %s in 5 s", what)
		}
	}
}
