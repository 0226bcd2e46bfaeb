package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/load"
	"pistachioshore.dev/result"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// Parameters of the tier whose fan-out is measured. A server has more slots than shards and its cold limit equals its
// slots, so that no sub-request waits in a queue or for a cold server.
const (
	fanGroup       = "chiffrage"
	fanRoute       = "breakdown-lookup"
	fanSlots       = 40
	fanConnections = 200
	fanLimit       = 20
	fanService     = 2 * time.Millisecond
	fanWarm        = 30 // warm-up queries before the measurement
	fanDeadline    = "2s"
	targetTime     = 87 // latency target in ms, from section 1.6 of the design page
)

// measureFanOuts compares the tier with direct parallel calls at several fan-outs.
func (b *bench) fanOuts(ctx context.Context) error {
	for _, n := range []int{10, 40, 160, 440} {
		if err := b.fanOut(ctx, n); err != nil {
			return errors.Wrapf(err, "fan-out %d", n)
		}
	}
	return nil
}

// withShards returns a function that distributes n shards over the services of one group and makes answers wait for
// all of them.
func widen(n int) func(cfg *wire.Configuration) {
	return func(cfg *wire.Configuration) {
		g := &cfg.Groups[0]
		g.Slots, g.ColdLimit, g.Connections = fanSlots, fanSlots, fanConnections
		l := &cfg.Layouts[0]
		l.Shards = nil
		for i := range n {
			l.Shards = append(l.Shards, wire.ShardSettings{
				Name: fmt.Sprintf("%s-shard-%03d", g.Name, i), Group: g.Name, Service: g.Services[i%len(g.Services)].Name,
				From: sample.Key(g.Name, i, 0), To: sample.Key(g.Name, i+1, 0),
			})
		}
		r := cfg.Routes[0]
		r.Groups, r.Deadline, r.StragglerWait, r.MinimumCoverage, r.HedgeBudget = []string{g.Name}, fanDeadline, fanDeadline, 1, 0
		cfg.Routes = []wire.RouteSettings{r}
	}
}

// callStats holds the measurements of one series of calls, through the tier or direct.
type half struct {
	latencies []float64 // milliseconds
	cpu       float64   // microseconds per sub-request, without the CPU time of the idle process
}

func (b *bench) fanOut(ctx context.Context, n int) error {
	traffic, err := newTraffic()
	if err != nil {
		return err
	}
	t, err := tier.Start(ctx, tier.Settings{
		Firm: "armor", VMsPerZone: 2, AdjustConfig: widen(n), VMOptions: []fx.Option{traffic.option()},
		Upstreams: upstream.Settings{QueueLimit: fanSlots, ServiceTime: fanService, Seed: b.settings.Seed},
	})
	if err != nil {
		return err
	}
	defer t.Close(ctx)
	d, err := newDirect(ctx, t.Catalog(), fanGroup)
	if err != nil {
		return err
	}
	defer d.close()
	client := tier.NewClient(t)
	tierCall := func() error { return queryOnce(ctx, client, n) }
	directCall := func() error { return d.call(ctx) }
	for range fanWarm {
		if err := errors.CombineErrors(tierCall(), directCall()); err != nil {
			return err
		}
	}
	if err := b.pairs(n, idleRate(), tierCall, directCall); err != nil {
		return err
	}
	traffic.on.Store(true)
	for range b.settings.Queries {
		if err := tierCall(); err != nil {
			return err
		}
	}
	traffic.on.Store(false)
	b.addBytes(traffic, n)
	return nil
}

// measurePairs alternates between queries through the tier and direct calls, and adds their differences and ratios to
// the report.
func (b *bench) pairs(n int, idle float64, tierCall, directCall func() error) error {
	var cpuTier, cpuDirect, own, p50, p99, ratio, all []float64
	for range b.settings.Pairs {
		x, err := b.half(n, idle, tierCall)
		if err != nil {
			return err
		}
		y, err := b.half(n, idle, directCall)
		if err != nil {
			return err
		}
		cpuTier, cpuDirect, own = append(cpuTier, x.cpu), append(cpuDirect, y.cpu), append(own, x.cpu-y.cpu)
		p50 = append(p50, quantile(x.latencies, 0.5)-quantile(y.latencies, 0.5))
		p99 = append(p99, quantile(x.latencies, 0.99)-quantile(y.latencies, 0.99))
		all = append(all, x.latencies...)
		ratio = append(ratio, quantile(x.latencies, 0.5)/quantile(y.latencies, 0.5))
	}
	b.add("fan-out", n, "tier and stand-ins, per sub-request", "us CPU", cpuTier...)
	b.add("fan-out", n, "direct and stand-ins, per sub-request", "us CPU", cpuDirect...)
	b.add("fan-out", n, "tier's own, per sub-request", "us CPU", own...)
	b.add("fan-out", n, "added latency, median", "ms", p50...)
	b.add("fan-out", n, "added latency, p99", "ms", p99...)
	b.add("fan-out", n, "median, tier over direct", "ratio", ratio...)
	b.add("fan-out", n, "latency of the tier, p99", "ms", quantile(all, 0.99))
	b.add("fan-out", n, "answers within the target time", "share", within(all, targetTime))
	return nil
}

// shareWithin returns the share of the latencies that are at most limit.
func within(latencies []float64, limit float64) float64 {
	n := 0
	for _, l := range latencies {
		if l <= limit {
			n++
		}
	}
	return float64(n) / float64(len(latencies))
}

func (b *bench) half(n int, idle float64, call func() error) (half, error) {
	var h half
	began, before := time.Now(), load.CPUTime()
	for range b.settings.Queries {
		sent := time.Now()
		if err := call(); err != nil {
			return h, err
		}
		h.latencies = append(h.latencies, float64(time.Since(sent).Microseconds())/1000)
	}
	used := float64((load.CPUTime() - before).Microseconds()) - idle*time.Since(began).Seconds()
	h.cpu = used / float64(b.settings.Queries*n)
	return h, nil
}

// idleCPURate returns the CPU time, in microseconds per second, that the process uses without requests.
func idleRate() float64 {
	before, began := load.CPUTime(), time.Now()
	time.Sleep(time.Second)
	return float64((load.CPUTime() - before).Microseconds()) / time.Since(began).Seconds()
}

func (b *bench) addBytes(t *traffic, n int) {
	subRequests := float64(b.settings.Queries * n)
	queries := float64(b.settings.Queries)
	bytes, messages := t.of(codec.KindSubRequests)
	b.add("fan-out", n, "sub-requests sent, per sub-request", "B", bytes/subRequests)
	b.add("fan-out", n, "sub-request messages, per query", "1", messages/queries)
	bytes, messages = t.of(codec.KindParts)
	b.add("fan-out", n, "parts sent, per sub-request", "B", bytes/subRequests)
	b.add("fan-out", n, "part messages, per query", "1", messages/queries)
}

func queryOnce(ctx context.Context, c *tier.Client, n int) error {
	q := c.Query(ctx, c.PickVM(), "slopes", wire.QueryRequest{Route: fanRoute, Filter: &wire.Filter{}, Limit: fanLimit})
	return checkAnswer(q, n)
}

func checkAnswer(q audit.Query, n int) error {
	if q.Code != result.Complete || len(q.Answer.Covered) != n {
		return errors.Newf("query returned %v, want a complete answer from %d shards", q.Code, n)
	}
	return nil
}
