package audit

import "pistachioshore.dev/result"

// CheckRefusals checks that no upstream started a request that was refused as "not run" (P6).
func (a *Checker) CheckRefusals() []Violation {
	var out violations
	for _, q := range a.history.Queries {
		a.checkRefusal(&out, q.Call)
	}
	for _, o := range a.history.Orders {
		a.checkRefusal(&out, o.Call)
	}
	return out
}

func (a *Checker) checkRefusal(out *violations, c Call) {
	if c.Code == 0 || c.Code.Effect() != result.NotRun {
		return
	}
	if started := a.starts[c.RequestID]; len(started) > 0 {
		out.add(RefusedNotRun, c.RequestID, "refused with %s, but the upstreams counted %d starts", c.Code, len(started))
	}
}
