// Package demo runs the tiers of both firms in one process and audits their results.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
)

// Start times of the operator actions and the end of the load, counted from the time when all VMs are ready.
const (
	publishSnapshotAt = 2 * time.Second
	drainZoneAt       = 4 * time.Second
	restoreZoneAt     = 9 * time.Second // 3 s for the drain to take effect, then 2 s in which the zone must receive no new work
	stopVMAt          = 11 * time.Second
	endAt             = 14 * time.Second
)

// MaxRunDuration limits the whole demo.
const MaxRunDuration = 30 * time.Second

// Settings configures a run.
type Settings struct {
	Seed      uint64
	Progress  io.Writer // one line for each operator action; discarded if nil
	LogOutput io.Writer // log lines of the VMs; discarded if nil
}

// Run runs the tiers of both firms concurrently and reports the results, as observed by callers and upstreams.
func Run(ctx context.Context, s Settings) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxRunDuration)
	defer cancel()
	started := time.Now()
	progress := &progressLog{w: s.Progress, started: started}
	report := Report{Seed: s.Seed}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failures error
	for _, name := range sample.Firms() {
		wg.Go(func() {
			r, err := runFirm(ctx, s, name, progress)
			mu.Lock()
			defer mu.Unlock()
			failures = errors.CombineErrors(failures, err)
			report.Firms = append(report.Firms, r)
		})
	}
	wg.Wait()
	report.finish(time.Since(started))
	return report, failures
}

func runFirm(ctx context.Context, s Settings, name string, progress *progressLog) (FirmReport, error) {
	t, err := tier.Start(ctx, tier.Settings{
		Firm: name, VMsPerZone: 2, LogOutput: s.LogOutput,
		Upstreams:     upstream.Settings{QueueLimit: 8, ServiceTime: 4 * time.Millisecond, Spread: 0.3, Seed: s.Seed},
		ConfigOptions: []sample.Option{sample.WithSnapshots(1)},
	})
	if err != nil {
		return FirmReport{Firm: name}, errors.Wrapf(err, "start tier of %s", name)
	}
	progress.printf("%s: %d entry VMs and %d upstreams are ready", name, len(t.VMs()), len(t.Upstreams().All()))
	w := newWorkload(t, name, s.Seed)
	runCtx, cancel := context.WithTimeout(ctx, endAt)
	defer cancel()
	var callers sync.WaitGroup
	callers.Go(func() { w.run(runCtx) })
	err = runActions(runCtx, t, name, progress)
	callers.Wait()
	t.Close(ctx)
	violations, history := t.Violations()
	progress.printf("%s: checked %d look-ups and %d orders", name, len(history.Queries), len(history.Orders))
	return newFirmReport(name, history, violations), err
}

// progressLog writes progress lines that begin with the time since the start.
type progressLog struct {
	mu      sync.Mutex
	w       io.Writer
	started time.Time
}

func (l *progressLog) printf(format string, args ...any) {
	if l.w == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.w, "%5.1fs  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}
