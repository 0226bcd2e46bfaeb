package matrix

import (
	"context"
	"fmt"
	"strings"
	"time"

	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// Timing of the watched requests.
const (
	startPollInterval      = 2 * time.Millisecond
	attemptStartTimeout    = 100 * time.Millisecond // for a call to start at the upstream
	runSlowFactor          = 20                     // makes the watched request run for 80 ms
	lateResultSlowFactor   = 200                    // makes the results arrive after the caller has disconnected
	earlyDisconnectTimeout = 100 * time.Millisecond
	callerTimeout          = 5 * time.Second
)

// reachStep sends watched requests until one reaches the step. The tier has no other requests at that time.
func (c *cellRun) reachStep() {
	t := c.spec.Step.trigger
	if t.step == 0 {
		c.reached = true
		return
	}
	c.slowUpstreams(t)
	for n := 0; n < reachAttempts && !c.reached; n++ {
		hits := c.arm(t.step)
		c.sendWatched(n)
		timer := time.NewTimer(reachTimeout)
		select {
		case c.hit = <-hits:
			c.reached = true
		case <-timer.C:
		}
		timer.Stop()
	}
	if t.waitStarted && c.reached {
		c.release()
		c.waitStarted()
	}
	c.slowUpstreams(trigger{})
}

// slowUpstreams slows the upstreams down if the trigger's step would otherwise be over before the fault begins.
func (c *cellRun) slowUpstreams(t trigger) {
	factor, sel := 0.0, allUpstreams
	switch {
	case t.waitStarted:
		factor = runSlowFactor
	case t.step == vm.StepLatePart:
		factor, sel = lateResultSlowFactor, upstream.Selection{Service: "chiffrage-01"}
	}
	_ = c.editFaults(sel, func(f *upstream.Faults) { f.SlowFactor = factor }) // the factors are in range
}

// targetsChild reports whether the first fault affects the VM in the child process.
func (c *cellRun) targetsChild() bool {
	return c.spec.Faults[0].Name == "process-paused"
}

func (c *cellRun) arm(step vm.Step) <-chan hit {
	if c.targetsChild() {
		return c.child.arm(step)
	}
	return c.breakpoint.arm(step)
}

func (c *cellRun) release() {
	if c.targetsChild() {
		c.child.release()
		return
	}
	c.breakpoint.release()
}

// sendWatched sends a look-up. In every second cell, every other attempt is an order instead, except at StepLatePart.
func (c *cellRun) sendWatched(attempt int) {
	v := c.client.PickVM()
	if c.targetsChild() {
		v = c.vmAt(c.child.settings.Address)
	}
	n := c.nextNumber()
	if c.spec.watchesOrder() && c.spec.Step.trigger.step != vm.StepLatePart && attempt%2 == 0 {
		c.watchedRequests.Go(func() { c.client.OrderVia(context.Background(), v, callerName(n), c.newOrder(n)) })
		return
	}
	q := wire.QueryRequest{Route: lookupRoute, Filter: &wire.Filter{KeyTo: fmt.Sprintf("zz-watched-%d", n)}, Limit: 40}
	c.watchedRequests.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.watchedTimeout())
		defer cancel()
		c.client.Query(ctx, v, callerName(n), q)
	})
}

// watchedTimeout returns the time after which the caller of the watched look-up disconnects. For StepLatePart it
// disconnects early, so that results arrive for a request that has ended.
func (c *cellRun) watchedTimeout() time.Duration {
	if c.spec.Step.trigger.step == vm.StepLatePart {
		return earlyDisconnectTimeout
	}
	return callerTimeout
}

// waitStarted waits until an upstream has started the watched sub-request.
func (c *cellRun) waitStarted() {
	deadline := time.Now().Add(attemptStartTimeout)
	for time.Now().Before(deadline) {
		for _, u := range c.tier.Upstreams().All() {
			starts := u.Counts().Starts
			if n := len(starts); n > 0 && strings.HasPrefix(starts[n-1].Request, c.hit.requestID) {
				return
			}
		}
		c.sleep(startPollInterval)
	}
}

// targetVM returns the VM at which the request reached the step. It returns another VM if that one runs in a child
// process or is the last of its zone.
func (c *cellRun) targetVM() *tier.VM {
	vmsInZone := map[string]int{}
	for _, v := range c.runningVMs() {
		vmsInZone[v.Zone]++
	}
	eligible := func(v *tier.VM) bool {
		return v != nil && vmsInZone[v.Zone] > 1 && (c.child == nil || v.Runner() != tier.Runner(c.child))
	}
	if v := c.vmAt(c.hit.vm); eligible(v) {
		return v
	}
	for _, v := range c.runningVMs() {
		if eligible(v) {
			return v
		}
	}
	return c.runningVMs()[0]
}
