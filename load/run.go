package load

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/load/arm"
	"pistachioshore.dev/load/scenario"
	"pistachioshore.dev/pool"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// Intervals between progress lines and between configuration checks.
const (
	progressEvery = 2 * time.Second
	sightEvery    = 250 * time.Millisecond
)

// filters holds the filters of look-ups, which are used in turn.
var filters = []wire.Filter{
	{Kind: "part", Contains: "pump"},
	{Kind: "part", Contains: "pedal"},
	{Kind: "job"},
	{Kind: "batch", Contains: "prism"},
	{Kind: "reject-mark"},
	{},
}

// run is one run of one arm.
type run struct {
	settings Settings
	arm      arm.Arm
	tier     *tier.Tier
	client   *tier.Client
	calls    []scenario.Call
	started  time.Time
	intended []time.Time
	queries  []audit.Query // by the index of their call
	missing  *reasons
	ended    atomic.Int64
	sent     atomic.Int64
}

func runArm(ctx context.Context, s Settings, a arm.Arm, repeat int) (ArmRun, error) {
	sc, seed := s.Scenario, s.Seed+uint64(repeat)
	runtime.GC()
	loads := newReports()
	t, err := tier.Start(ctx, tier.Settings{
		Firm: sc.Firm, VMsPerZone: sc.VMsPerZone,
		Upstreams: upstream.Settings{
			QueueLimit: sc.QueueLimit, ServiceTime: sc.ServiceTime.AsDuration(), Spread: sc.Spread, RestartTime: sc.RestartTime.AsDuration(), Seed: seed,
		},
		ConfigOptions: []sample.Option{sample.WithSnapshots(1)},
		AdjustConfig:  a.AdjustConfig,
		VMOptions:     a.VMOptions(loads.of), LogOutput: s.LogOutput,
	})
	if err != nil {
		return ArmRun{}, errors.Wrap(err, "start tier")
	}
	r := &run{settings: s, arm: a, tier: t, client: tier.NewClient(t), calls: sc.Schedule(seed)}
	r.missing = newReasons()
	r.client.OnAnswer(r.missing.add)
	r.queries = make([]audit.Query, len(r.calls))
	r.intended = make([]time.Time, len(r.calls))
	running, stop := context.WithCancel(ctx)
	defer stop()
	var helpers sync.WaitGroup
	helpers.Go(func() { loads.watch(running, t.Upstreams()) })
	usage := startUsage()
	r.started = time.Now()
	helpers.Go(func() { r.progress(running, repeat) })
	helpers.Go(func() { r.sight(running) })
	eventErr := make(chan error, 1)
	helpers.Go(func() { eventErr <- r.events(running) })
	r.send(running)
	err = errors.CombineErrors(<-eventErr, ctx.Err())
	u := usage.stop()
	stop()
	helpers.Wait()
	t.Close(context.WithoutCancel(ctx))
	violations, history := t.Violations()
	return r.measure(repeat, seed, u, violations, history), err
}

// sendRequests starts each request at its intended time without waiting for earlier ones, and returns when
// all have ended.
func (r *run) send(ctx context.Context) {
	var under sync.WaitGroup
	defer under.Wait()
	for _, c := range r.calls {
		at := r.started.Add(c.IntendedStart)
		if !pool.SleepUntil(ctx, at) {
			return
		}
		r.intended[c.Index] = at
		r.sent.Add(1)
		under.Go(func() {
			r.queries[c.Index] = r.client.Query(ctx, r.client.PickVM(), fmt.Sprintf("caller-%d", c.Index), r.request(c))
			r.ended.Add(1)
		})
	}
}

// newRequest returns the request of a call. It uses one of a few filters, so that the verdict on its fingerprint
// is cached early in a run. For an arm with unique fingerprints, each filter has its own lower bound, which lies
// below every key and thus excludes no record.
func (r *run) request(c scenario.Call) wire.QueryRequest {
	f := filters[c.Index%len(filters)]
	if r.arm.UniqueFingerprints {
		f.KeyFrom = fmt.Sprintf("!%d", c.Index)
	}
	return wire.QueryRequest{Route: c.Route, Filter: &f, Limit: 20}
}

func (r *run) progress(ctx context.Context, repeat int) {
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			sc := r.settings.Scenario
			r.settings.print("%s %s repeat %d: %.0fs of %v, %d sent, %d ended", sc.Name, r.arm.Name, repeat+1,
				time.Since(r.started).Seconds(), sc.Duration.AsDuration(), r.sent.Load(), r.ended.Load())
		}
	}
}

// recordRevisions periodically records the configuration revision that each VM reports, for the audit.
func (r *run) sight(ctx context.Context) {
	tick := time.NewTicker(sightEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.tier.RecordRevisions()
	}
}
