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
	progressInterval      = 2 * time.Second
	revisionCheckInterval = 250 * time.Millisecond
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
	settings       Settings
	arm            arm.Arm
	tier           *tier.Tier
	client         *tier.Client
	calls          []scenario.Call
	started        time.Time
	intendedStarts []time.Time
	queries        []audit.Query // by the index of their call
	missingReasons *missingReasons
	completed      atomic.Int64
	sent           atomic.Int64
}

func runArm(ctx context.Context, s Settings, a arm.Arm, repeat int) (ArmRun, error) {
	sc, seed := s.Scenario, s.Seed+uint64(repeat)
	runtime.GC()
	reports := newLoadReports()
	t, err := tier.Start(ctx, tier.Settings{
		Firm: sc.Firm, VMsPerZone: sc.VMsPerZone,
		Upstreams: upstream.Settings{
			QueueLimit: sc.QueueLimit, ServiceTime: sc.ServiceTime.AsDuration(), Spread: sc.Spread, RestartTime: sc.RestartTime.AsDuration(), Seed: seed,
		},
		ConfigOptions: []sample.Option{sample.WithSnapshots(1)},
		AdjustConfig:  a.AdjustConfig,
		VMOptions:     a.VMOptions(reports.reportedLoad), LogOutput: s.LogOutput,
	})
	if err != nil {
		return ArmRun{}, errors.Wrap(err, "start tier")
	}
	r := &run{settings: s, arm: a, tier: t, client: tier.NewClient(t), calls: sc.Schedule(seed)}
	r.missingReasons = newMissingReasons()
	r.client.OnAnswer(r.missingReasons.add)
	r.queries = make([]audit.Query, len(r.calls))
	r.intendedStarts = make([]time.Time, len(r.calls))
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { reports.poll(runCtx, t.Upstreams()) })
	meter := startUsageMeter()
	r.started = time.Now()
	background.Go(func() { r.reportProgress(runCtx, repeat) })
	background.Go(func() { r.recordRevisions(runCtx) })
	eventErr := make(chan error, 1)
	background.Go(func() { eventErr <- r.runEvents(runCtx) })
	r.sendRequests(runCtx)
	err = errors.CombineErrors(<-eventErr, ctx.Err())
	u := meter.stop()
	cancel()
	background.Wait()
	t.Close(context.WithoutCancel(ctx))
	violations, history := t.Violations()
	return r.collectResults(repeat, seed, u, violations, history), err
}

// sendRequests starts each request at its intended time without waiting for earlier ones, and returns when
// all have ended.
func (r *run) sendRequests(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for _, c := range r.calls {
		at := r.started.Add(c.IntendedStart)
		if !pool.SleepUntil(ctx, at) {
			return
		}
		r.intendedStarts[c.Index] = at
		r.sent.Add(1)
		inFlight.Go(func() {
			r.queries[c.Index] = r.client.Query(ctx, r.client.PickVM(), fmt.Sprintf("caller-%d", c.Index), r.newRequest(c))
			r.completed.Add(1)
		})
	}
}

// newRequest returns the request of a call. It uses one of a few filters, so that the verdict on its fingerprint
// is cached early in a run. For an arm with unique fingerprints, each filter has its own lower bound, which lies
// below every key and thus excludes no record.
func (r *run) newRequest(c scenario.Call) wire.QueryRequest {
	f := filters[c.Index%len(filters)]
	if r.arm.UniqueFingerprints {
		f.KeyFrom = fmt.Sprintf("!%d", c.Index)
	}
	return wire.QueryRequest{Route: c.Route, Filter: &f, Limit: 20}
}

func (r *run) reportProgress(ctx context.Context, repeat int) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			sc := r.settings.Scenario
			r.settings.printf("%s %s repeat %d: %.0fs of %v, %d sent, %d ended", sc.Name, r.arm.Name, repeat+1,
				time.Since(r.started).Seconds(), sc.Duration.AsDuration(), r.sent.Load(), r.completed.Load())
		}
	}
}

// recordRevisions periodically records the configuration revision that each VM reports, for the audit.
func (r *run) recordRevisions(ctx context.Context) {
	tick := time.NewTicker(revisionCheckInterval)
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
