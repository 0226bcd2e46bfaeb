package matrix

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/standin/platform"
	"pistachioshore.dev/standin/sample"
)

// Timeouts and limits of a cell.
const (
	reachTimeout       = 1500 * time.Millisecond // for one watched request to reach its step
	reachAttempts      = 4                       // watched requests sent at most
	recoveryTimeout    = 15 * time.Second        // takeover delay, restart and start of a VM, with a margin for a busy machine
	pollInterval       = 200 * time.Millisecond
	propagationTimeout = 5 * time.Second
	idleDuration       = 500 * time.Millisecond // time without requests after the fault begins in an idle tier
)

// cellRun is the run of a cell in an environment.
type cellRun struct {
	*environment
	ctx             context.Context
	spec            Cell
	injectors       []injector
	hit             hit
	reached         bool
	killedVM        *tier.VM
	background      sync.WaitGroup // background work of the faults
	watchedRequests sync.WaitGroup

	checkDeadlines  bool
	platformFaults  platform.Faults
	hiddenRevisions []uint64  // published revisions that the platform does not serve yet
	servedSince     time.Time // when the platform last served the newest revision again
}

func newCellRun(ctx context.Context, e *environment, spec Cell) *cellRun {
	c := &cellRun{environment: e, ctx: ctx, spec: spec}
	byName := injectors()
	for _, f := range spec.Faults {
		c.injectors = append(c.injectors, byName[f.Name])
	}
	return c
}

// run injects the faults, applies load for the longest of their durations, removes them and waits for all requests to end.
func (c *cellRun) run() error {
	watchCtx, stopWatching := context.WithCancel(c.ctx)
	var watcher sync.WaitGroup
	watcher.Go(func() { c.watchRevisions(watchCtx) })
	defer watcher.Wait()
	defer stopWatching()
	for _, inj := range c.injectors {
		if err := c.callIfSet(inj.prepare); err != nil {
			return err
		}
	}
	loadCtx, stopLoad := context.WithCancel(c.ctx)
	var load sync.WaitGroup
	err := c.injectFaults(func() { load.Go(func() { c.sendLoad(loadCtx) }) })
	c.sleep(c.maxFaultDuration())
	for _, inj := range c.injectors {
		err = errors.CombineErrors(err, c.callIfSet(inj.remove))
	}
	stopLoad()
	load.Wait()
	c.background.Wait()
	c.watchedRequests.Wait()
	return err
}

// injectFaults injects the faults, the first one at the step of the watched request.
func (c *cellRun) injectFaults(startLoad func()) error {
	c.reachStep()
	err := c.callIfSet(c.injectors[0].inject)
	c.release()
	if c.spec.Step.trigger.step == 0 {
		c.sleep(idleDuration)
	}
	startLoad()
	for i, inj := range c.injectors[1:] {
		c.sleep(c.spec.Delays[i])
		err = errors.CombineErrors(err, c.callIfSet(inj.inject))
	}
	return err
}

func (c *cellRun) callIfSet(fn func(c *cellRun) error) error {
	if fn == nil {
		return nil
	}
	return fn(c)
}

func (c *cellRun) maxFaultDuration() time.Duration {
	var longest time.Duration
	for _, f := range c.spec.Faults {
		longest = max(longest, f.Duration)
	}
	return longest
}

func (c *cellRun) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// waitRecovered waits until every VM serves all requests again.
func (c *cellRun) waitRecovered() error {
	deadline := time.Now().Add(recoveryTimeout)
	for _, v := range c.runningVMs() {
		for {
			err := c.checkServing(c.ctx, v)
			if err == nil {
				break
			}
			if time.Now().After(deadline) || c.ctx.Err() != nil {
				return err
			}
			c.sleep(pollInterval)
		}
	}
	return nil
}

// publish publishes the next configuration with the given changes.
func (c *cellRun) publish(opts ...sample.Option) error {
	_, err := c.publishAt(opts...)
	return err
}

// publishAt publishes like publish and returns the time of the publication. While a fault hides publications, the
// revision is recorded as published only once the platform serves it.
func (c *cellRun) publishAt(opts ...sample.Option) (time.Time, error) {
	if !c.publicationsHidden() {
		return c.tier.Publish(opts...)
	}
	at, revision, err := c.tier.PublishUnrecorded(opts...)
	c.hiddenRevisions = append(c.hiddenRevisions, revision)
	return at, err
}

func (c *cellRun) publicationsHidden() bool {
	return c.platformFaults.Outage != platform.NoOutage || c.platformFaults.StaleTag > 0
}

// updatePlatformFaults changes the faults of the platform, and records the hidden publications if it serves them again.
func (c *cellRun) updatePlatformFaults(change func(f *platform.Faults)) error {
	change(&c.platformFaults)
	if err := c.tier.Platform().SetFaults(c.platformFaults); err != nil {
		return err
	}
	if c.publicationsHidden() {
		return nil
	}
	c.servedSince = time.Now()
	for _, revision := range c.hiddenRevisions {
		c.tier.Recorder().RecordPublication(audit.Publication{Revision: revision, At: c.servedSince})
	}
	c.hiddenRevisions = nil
	return nil
}

// recordDrain records a drain that begins when the platform first served it.
func (c *cellRun) recordDrain(d audit.Drain) {
	if c.publicationsHidden() {
		return
	}
	if c.servedSince.After(d.From) {
		d.From = c.servedSince
	}
	c.tier.Recorder().RecordDrain(d)
}

// waitPropagated waits until the newest configuration is in effect on every VM.
func (c *cellRun) waitPropagated() error {
	ctx, cancel := context.WithTimeout(c.ctx, propagationTimeout)
	defer cancel()
	newest := c.tier.Catalog().Revision
	for _, v := range c.runningVMs() {
		for v.Revision() < newest {
			if ctx.Err() != nil {
				return errors.Newf("VM %s reports revision %d instead of %d", v.Address, v.Revision(), newest)
			}
			c.sleep(pollInterval)
		}
	}
	return nil
}
