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

// Bounds of a cell.
const (
	reachTime   = 1500 * time.Millisecond // for a watched request to reach its step
	reachTries  = 4                       // watched requests sent
	recoverTime = 15 * time.Second        // takeover delay, restart and a new VM's start, with room for a busy machine
	recoverLook = 200 * time.Millisecond
	inForceTime = 5 * time.Second
	idleTime    = 500 * time.Millisecond // that the fault lasts before an idle tier gets requests again
)

// cell is a cell that runs on a site.
type cell struct {
	*site
	ctx     context.Context
	spec    Cell
	acts    []act
	at      hit
	reached bool
	killed  *tier.VM
	work    sync.WaitGroup // what the faults do besides
	watched sync.WaitGroup

	checkDeadlines bool
	faults         platform.Faults
	unseen         []uint64  // revisions that the platform does not show yet
	shown          time.Time // when it showed them
}

func newCell(ctx context.Context, s *site, spec Cell) *cell {
	c := &cell{site: s, ctx: ctx, spec: spec}
	all := acts()
	for _, f := range spec.Faults {
		c.acts = append(c.acts, all[f.Name])
	}
	return c
}

// run puts the faults, lets them last, ends them and returns when the tier serves fully again.
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

// putFaults begins the faults, the first at the step of the watched request.
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

// recovered waits until every VM serves fully again.
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

// publish publishes the next configuration with further changes.
func (c *cell) publish(opts ...sample.Option) error {
	_, err := c.publishAt(opts...)
	return err
}

// publishAt also returns when; what the platform does not show counts from when it does.
func (c *cell) publishAt(opts ...sample.Option) (time.Time, error) {
	if !c.hidden() {
		return c.tier.Publish(opts...)
	}
	at, revision, err := c.tier.PublishUnrecorded(opts...)
	c.unseen = append(c.unseen, revision)
	return at, err
}

func (c *cell) hidden() bool {
	return c.faults.Outage != platform.NoOutage || c.faults.StaleTag > 0
}

// platformFaults changes the faults of the platform; publications that it shows from then on count.
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

// outage records a time without new work, from when the platform has shown it.
func (c *cell) outage(o audit.Drain) {
	if c.hidden() {
		return
	}
	if c.shown.After(o.From) {
		o.From = c.shown
	}
	c.tier.Recorder().RecordDrain(o)
}

// waitInForce waits until every VM shows the newest configuration.
func (c *cell) waitInForce() error {
	ctx, cancel := context.WithTimeout(c.ctx, inForceTime)
	defer cancel()
	newest := c.tier.Catalog().Revision
	for _, v := range c.running() {
		for v.Revision() < newest {
			if ctx.Err() != nil {
				return errors.Newf("VM %s shows revision %d instead of %d", v.Address, v.Revision(), newest)
			}
			c.sleep(recoverLook)
		}
	}
	return nil
}
