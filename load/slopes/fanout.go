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

// Parameters of the tier whose fan-out is measured. A server has more slots than shards and its cold-start limit equals
// its slots, so that no sub-request waits in a queue or for a cold server.
const (
	fanOutGroup         = "chiffrage"
	fanOutRoute         = "breakdown-lookup"
	fanOutSlots         = 40
	fanOutConnections   = 200
	fanOutLimit         = 20
	fanOutServiceTime   = 2 * time.Millisecond
	warmUpQueries       = 30 // before the measurement
	fanOutDeadline      = "2s"
	targetLatencyMillis = 87 // from section 1.6 of docs/design.md
)

// measureFanOuts compares the tier with direct parallel calls at several fan-outs.
func (b *bench) measureFanOuts(ctx context.Context) error {
	for _, n := range []int{10, 40, 160, 440} {
		if err := b.measureFanOut(ctx, n); err != nil {
			return errors.Wrapf(err, "fan-out %d", n)
		}
	}
	return nil
}

// withShards returns a function that distributes n shards over the services of one group and makes answers wait for
// all of them.
func withShards(n int) func(cfg *wire.Configuration) {
	return func(cfg *wire.Configuration) {
		g := &cfg.Groups[0]
		g.Slots, g.ColdLimit, g.Connections = fanOutSlots, fanOutSlots, fanOutConnections
		l := &cfg.Layouts[0]
		l.Shards = nil
		for i := range n {
			l.Shards = append(l.Shards, wire.ShardSettings{
				Name: fmt.Sprintf("%s-shard-%03d", g.Name, i), Group: g.Name, Service: g.Services[i%len(g.Services)].Name,
				From: sample.Key(g.Name, i, 0), To: sample.Key(g.Name, i+1, 0),
			})
		}
		r := cfg.Routes[0]
		r.Groups, r.Deadline, r.StragglerWait, r.MinimumCoverage, r.HedgeBudget = []string{g.Name}, fanOutDeadline, fanOutDeadline, 1, 0
		cfg.Routes = []wire.RouteSettings{r}
	}
}

// callStats holds the measurements of one series of calls, through the tier or direct.
type callStats struct {
	latencies        []float64 // milliseconds
	cpuPerSubRequest float64   // microseconds, without the CPU time of the idle process
}

func (b *bench) measureFanOut(ctx context.Context, n int) error {
	traffic, err := newTrafficCounter()
	if err != nil {
		return err
	}
	t, err := tier.Start(ctx, tier.Settings{
		Firm: "armor", VMsPerZone: 2, AdjustConfig: withShards(n), VMOptions: []fx.Option{traffic.vmOption()},
		Upstreams: upstream.Settings{QueueLimit: fanOutSlots, ServiceTime: fanOutServiceTime, Seed: b.settings.Seed},
	})
	if err != nil {
		return err
	}
	defer t.Close(ctx)
	d, err := newDirectCaller(ctx, t.Catalog(), fanOutGroup)
	if err != nil {
		return err
	}
	defer d.close()
	client := tier.NewClient(t)
	tierCall := func() error { return queryOnce(ctx, client, n) }
	directCall := func() error { return d.callShards(ctx) }
	for range warmUpQueries {
		if err := errors.CombineErrors(tierCall(), directCall()); err != nil {
			return err
		}
	}
	if err := b.measurePairs(n, idleCPURate(), tierCall, directCall); err != nil {
		return err
	}
	traffic.enabled.Store(true)
	for range b.settings.Queries {
		if err := tierCall(); err != nil {
			return err
		}
	}
	traffic.enabled.Store(false)
	b.addTraffic(traffic, n)
	return nil
}

// measurePairs alternates between queries through the tier and direct calls, and adds their differences and ratios to
// the report.
func (b *bench) measurePairs(n int, idleCPU float64, tierCall, directCall func() error) error {
	var cpuTier, cpuDirect, tierOnly, p50, p99, ratios, tierLatencies []float64
	for range b.settings.Pairs {
		viaTier, err := b.measureCalls(n, idleCPU, tierCall)
		if err != nil {
			return err
		}
		direct, err := b.measureCalls(n, idleCPU, directCall)
		if err != nil {
			return err
		}
		cpuTier, cpuDirect, tierOnly = append(cpuTier, viaTier.cpuPerSubRequest), append(cpuDirect, direct.cpuPerSubRequest),
			append(tierOnly, viaTier.cpuPerSubRequest-direct.cpuPerSubRequest)
		p50 = append(p50, quantile(viaTier.latencies, 0.5)-quantile(direct.latencies, 0.5))
		p99 = append(p99, quantile(viaTier.latencies, 0.99)-quantile(direct.latencies, 0.99))
		tierLatencies = append(tierLatencies, viaTier.latencies...)
		ratios = append(ratios, quantile(viaTier.latencies, 0.5)/quantile(direct.latencies, 0.5))
	}
	b.add("fan-out", n, "tier and stand-ins, per sub-request", "us CPU", cpuTier...)
	b.add("fan-out", n, "direct and stand-ins, per sub-request", "us CPU", cpuDirect...)
	b.add("fan-out", n, "tier's own, per sub-request", "us CPU", tierOnly...)
	b.add("fan-out", n, "added latency, median", "ms", p50...)
	b.add("fan-out", n, "added latency, p99", "ms", p99...)
	b.add("fan-out", n, "median, tier over direct", "ratio", ratios...)
	b.add("fan-out", n, "latency of the tier, p99", "ms", quantile(tierLatencies, 0.99))
	b.add("fan-out", n, "answers within the target time", "share", shareWithin(tierLatencies, targetLatencyMillis))
	return nil
}

// shareWithin returns the share of the latencies that are at most limit.
func shareWithin(latencies []float64, limit float64) float64 {
	n := 0
	for _, l := range latencies {
		if l <= limit {
			n++
		}
	}
	return float64(n) / float64(len(latencies))
}

func (b *bench) measureCalls(n int, idleCPU float64, call func() error) (callStats, error) {
	var stats callStats
	start, cpuBefore := time.Now(), load.CPUTime()
	for range b.settings.Queries {
		sentAt := time.Now()
		if err := call(); err != nil {
			return stats, err
		}
		stats.latencies = append(stats.latencies, float64(time.Since(sentAt).Microseconds())/1000)
	}
	used := float64((load.CPUTime() - cpuBefore).Microseconds()) - idleCPU*time.Since(start).Seconds()
	stats.cpuPerSubRequest = used / float64(b.settings.Queries*n)
	return stats, nil
}

// idleCPURate returns the CPU time, in microseconds per second, that the process uses without requests.
func idleCPURate() float64 {
	cpuBefore, start := load.CPUTime(), time.Now()
	time.Sleep(time.Second)
	return float64((load.CPUTime() - cpuBefore).Microseconds()) / time.Since(start).Seconds()
}

func (b *bench) addTraffic(t *trafficCounter, n int) {
	subRequests := float64(b.settings.Queries * n)
	queries := float64(b.settings.Queries)
	bytes, messages := t.totals(codec.KindSubRequests)
	b.add("fan-out", n, "sub-requests sent, per sub-request", "B", bytes/subRequests)
	b.add("fan-out", n, "sub-request messages, per query", "1", messages/queries)
	bytes, messages = t.totals(codec.KindParts)
	b.add("fan-out", n, "parts sent, per sub-request", "B", bytes/subRequests)
	b.add("fan-out", n, "part messages, per query", "1", messages/queries)
}

func queryOnce(ctx context.Context, c *tier.Client, n int) error {
	q := c.Query(ctx, c.PickVM(), "slopes", wire.QueryRequest{Route: fanOutRoute, Filter: &wire.Filter{}, Limit: fanOutLimit})
	return checkAnswer(q, n)
}

func checkAnswer(q audit.Query, n int) error {
	if q.Code != result.Complete || len(q.Answer.Covered) != n {
		return errors.Newf("query returned %v, want a complete answer from %d shards", q.Code, n)
	}
	return nil
}
