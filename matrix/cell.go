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
	reachTime   = 1500 * time.Millisecond // for one watched request to reach its step
	reachTries  = 4                       // watched requests sent at most
	recoverTime = 15 * time.Second        // takeover delay, restart and start of a new VM, with a margin for a busy machine
	recoverLook = 200 * time.Millisecond
	inForceTime = 5 * time.Second
	idleTime    = 500 * time.Millisecond // time without requests after the fault begins in an idle tier
)

// cellRun is the run of a cell in an environment.
type cell struct {
	*site
	ctx     context.Context
	spec    Cell
	acts    []act
	at      hit
	reached bool
	killed  *tier.VM
	work    sync.WaitGroup // background work of the faults
	watched sync.WaitGroup

	checkDeadlines bool
	faults         platform.Faults
	unseen         []uint64  // published revisions that the platform does not serve yet
	shown          time.Time // when the platform last served the newest revision again
}

func newCell(ctx context.Context, s *site, spec Cell) *cell {
	c := &cell{site: s, ctx: ctx, spec: spec}
	all := acts()
	for _, f := range spec.Faults {
		c.acts = append(c.acts, all[f.Name])
	}
	return c
}

// run injects the faults, keeps them for their duration under load, removes them and waits for all requests to end.
func (c *cell) run() error {
	sights, stop := context.WithCancel(c.ctx)
	var watching sync.WaitGroup
	watching.Go(func() { c.watchRevisions(sights) })
	defer watching.Wait()
	defer stop()
	for _, a := range c.acts {
		if err := c.call(a.prepare); err != nil {
			return err
		}
	}
	loading, unload := context.WithCancel(c.ctx)
	var load sync.WaitGroup
	err := c.putFaults(func() { load.Go(func() { c.load(loading) }) })
	c.sleep(c.lasts())
	for _, a := range c.acts {
		err = errors.CombineErrors(err, c.call(a.end))
	}
	unload()
	load.Wait()
	c.work.Wait()
	c.watched.Wait()
	return err
}

// injectFaults injects the faults, the first one at the step of the watched request.
func (c *cell) putFaults(startLoad func()) error {
	c.reach()
	err := c.call(c.acts[0].begin)
	c.release()
	if c.spec.Step.marker.step == 0 {
		c.sleep(idleTime)
	}
	startLoad()
	for i, a := range c.acts[1:] {
		c.sleep(c.spec.Delays[i])
		err = errors.CombineErrors(err, c.call(a.begin))
	}
	return err
}

func (c *cell) call(fn func(c *cell) error) error {
	if fn == nil {
		return nil
	}
	return fn(c)
}

func (c *cell) lasts() time.Duration {
	var longest time.Duration
	for _, f := range c.spec.Faults {
		longest = max(longest, f.Duration)
	}
	return longest
}

func (c *cell) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// waitRecovered waits until every VM serves all requests again.
func (c *cell) recovered() error {
	until := time.Now().Add(recoverTime)
	for _, v := range c.running() {
		for {
			err := c.serves(c.ctx, v)
			if err == nil {
				break
			}
			if time.Now().After(until) || c.ctx.Err() != nil {
				return err
			}
			c.sleep(recoverLook)
		}
	}
	return nil
}

// publish publishes the next configuration with the given changes.
func (c *cell) publish(opts ...sample.Option) error {
	_, err := c.publishAt(opts...)
	return err
}

// publishAt publishes like publish and returns the time of the publication. While a fault hides publications, the
// revision is recorded as published only once the platform serves it.
func (c *cell) publishAt(opts ...sample.Option) (time.Time, error) {
	if !c.hidden() {
		return c.tier.Publish(opts...)
	}
	at, revision, err := c.tier.PublishUnseen(opts...)
	c.unseen = append(c.unseen, revision)
	return at, err
}

func (c *cell) hidden() bool {
	return c.faults.Outage != platform.NoOutage || c.faults.StaleTag > 0
}

// updatePlatformFaults changes the faults of the platform, and records the hidden publications if it serves them again.
func (c *cell) platformFaults(change func(f *platform.Faults)) error {
	change(&c.faults)
	if err := c.tier.Platform().SetFaults(c.faults); err != nil {
		return err
	}
	if c.hidden() {
		return nil
	}
	c.shown = time.Now()
	for _, revision := range c.unseen {
		c.tier.Recorder().RecordPublication(audit.Publication{Revision: revision, At: c.shown})
	}
	c.unseen = nil
	return nil
}

// recordDrain records a drain that begins when the platform first served it.
func (c *cell) outage(o audit.Drain) {
	if c.hidden() {
		return
	}
	if c.shown.After(o.From) {
		o.From = c.shown
	}
	c.tier.Recorder().RecordDrain(o)
}

// waitPropagated waits until the newest configuration is in effect on every VM.
func (c *cell) waitInForce() error {
	ctx, cancel := context.WithTimeout(c.ctx, inForceTime)
	defer cancel()
	newest := c.tier.Catalog().Revision
	for _, v := range c.running() {
		for v.Revision() < newest {
			if ctx.Err() != nil {
				return errors.Newf("VM %s reports revision %d instead of %d", v.Address, v.Revision(), newest)
			}
			c.sleep(recoverLook)
		}
	}
	return nil
}
