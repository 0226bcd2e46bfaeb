package forward_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"pistachioshore.dev/event"
	"pistachioshore.dev/forward"
)

// recorder collects the missing shards that events name.
type recorder struct {
	mu      sync.Mutex
	missing []string
}

// Record keeps the field of the missing shards.
func (r *recorder) Record(_ event.Kind, fields ...event.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range fields {
		if f.Key == event.MissingShards {
			r.missing = append(r.missing, f.Value.(string))
		}
	}
}

// TestMissingNamesServers guards against a log that says that a shard was late, but not which upstream in which zone was
// waited for, in a query that this VM fans out and in a part that another VM cancels.
func TestMissingNamesServers(t *testing.T) {
	h := newHarness(t)
	defer h.vm.Close()
	r := &recorder{}
	vm := forward.New(forward.Settings{Zone: "brest-nord", RetryRatio: 0.2, RetryBurst: 52, MaxInFlight: 8, Workers: 2}, h.routes, h.replicas, h.sender, r)
	defer vm.Close()
	h.config("look idempotent 40 1 0.5 s1 s2")
	h.servers("a s1 brest-nord answer:x\nb s2 angers-est silent")
	req := &forward.Request{ID: "id", Target: "/look/1", Path: "/look/1", Host: "h", ReceivedAt: time.Now()}
	vm.Serve(context.Background(), req)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	part := *req
	part.ReceivedAt, part.Relayed, part.ConfigVersion, part.Shards = time.Now(), true, 1, []int{0, 1}
	vm.Serve(ctx, &part)
	if got, want := strings.Join(r.missing, ", "), "s2:late@b/angers-est, s2:late@b/angers-est"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
