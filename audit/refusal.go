package audit

import "pistachioshore.dev/result"

// CheckRefusals checks that no upstream started a request that was refused as "not run" (P6).
func (c *Checker) CheckRefusals() []Violation {
	var out violations
	for _, q := range c.history.Queries {
		c.checkNotStarted(&out, q.Call)
	}
	for _, o := range c.history.Orders {
		c.checkNotStarted(&out, o.Call)
	}
	return out
}

func (c *Checker) checkNotStarted(out *violations, call Call) {
	if call.Code == 0 || call.Code.Effect() != result.NotRun {
		return
	}
	if starts := c.starts[call.RequestID]; len(starts) > 0 {
		out.add(RefusedNotRun, call.RequestID, "refused with %s, but the upstreams counted %d starts", call.Code, len(starts))
	}
}
