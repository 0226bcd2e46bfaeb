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

const (
	startLook    = 2 * time.Millisecond
	startTime    = 100 * time.Millisecond // for a call to become a start at the upstream
	runSlower    = 20                     // makes a watched request run for 80 ms
	answerSlower = 200                    // makes its parts come after its caller has left
	leaveTime    = 100 * time.Millisecond
	stayTime     = 5 * time.Second
)

// reach sends a watched request and waits until it reaches the step; the tier has no other requests.
func (c *cell) reach() {
	m := c.spec.Step.marker
	if m.step == 0 {
		c.reached = true
		return
	}
	c.slowDown(m)
	for n := 0; n < reachTries && !c.reached; n++ {
		hits := c.arm(m.step)
		c.sendWatched(n)
		t := time.NewTimer(reachTime)
		select {
		case c.at = <-hits:
			c.reached = true
		case <-t.C:
		}
		t.Stop()
	}
	if m.start && c.reached {
		c.release()
		c.awaitStart()
	}
	c.slowDown(marker{})
}

// slowDown gives the watched request the time to be met at its step.
func (c *cell) slowDown(m marker) {
	factor, sel := 0.0, everywhere
	switch {
	case m.start:
		factor = runSlower
	case m.step == vm.StepLatePart:
		factor, sel = answerSlower, upstream.Selection{Service: "chiffrage-01"}
	}
	_ = c.edit(sel, func(f *upstream.Faults) { f.SlowFactor = factor }) // the factors are in range
}

// onChild reports whether the fault concerns the VM in a process of its own.
func (c *cell) onChild() bool {
	return c.spec.Faults[0].Name == "process-paused"
}

func (c *cell) arm(step vm.Step) <-chan hit {
	if c.onChild() {
		return c.child.arm(step)
	}
	return c.trap.arm(step)
}

func (c *cell) release() {
	if c.onChild() {
		c.child.release()
		return
	}
	c.trap.release()
}

// sendWatched sends a look-up, or an order in every second cell.
func (c *cell) sendWatched(try int) {
	v := c.client.PickVM()
	if c.onChild() {
		v = c.vmAt(c.child.place.Address)
	}
	n := c.number()
	if c.spec.order() && c.spec.Step.marker.step != vm.StepLatePart && try%2 == 0 {
		c.watched.Go(func() { c.client.OrderVia(context.Background(), v, caller(n), c.order(n)) })
		return
	}
	q := wire.QueryRequest{Route: lookupRoute, Filter: &wire.Filter{KeyTo: fmt.Sprintf("zz-watched-%d", n)}, Limit: 40}
	c.watched.Go(func() {
		ctx, leave := context.WithTimeout(context.Background(), c.patience())
		defer leave()
		c.client.Query(ctx, v, caller(n), q)
	})
}

// patience returns how long the caller of the watched look-up stays; one that leaves makes the parts
// of its request come too late.
func (c *cell) patience() time.Duration {
	if c.spec.Step.marker.step == vm.StepLatePart {
		return leaveTime
	}
	return stayTime
}

// awaitStart waits until an upstream has started the watched sub-request.
func (c *cell) awaitStart() {
	deadline := time.Now().Add(startTime)
	for time.Now().Before(deadline) {
		for _, u := range c.tier.Upstreams().All() {
			starts := u.Counts().Starts
			if n := len(starts); n > 0 && strings.HasPrefix(starts[n-1].Request, c.at.request) {
				return
			}
		}
		c.sleep(startLook)
	}
}

// target returns the VM at which the request reached the step, unless it runs in a process of its own
// or is the last of its zone; then another one.
func (c *cell) target() *tier.VM {
	count := map[string]int{}
	for _, v := range c.running() {
		count[v.Zone]++
	}
	fit := func(v *tier.VM) bool {
		return v != nil && count[v.Zone] > 1 && (c.child == nil || v.Runner() != tier.Runner(c.child))
	}
	if v := c.vmAt(c.at.vm); fit(v) {
		return v
	}
	for _, v := range c.running() {
		if fit(v) {
			return v
		}
	}
	return c.running()[0]
}
