package audit

import "pistachioshore.dev/result"

// CheckRefusals checks that no upstream started a request that was refused as "not run" (P6).
func (a *Audit) Refusals() []Violation {
	var out violations
	for _, q := range a.history.Queries {
		a.checkRefusal(&out, q.Call)
	}
	for _, o := range a.history.Orders {
		a.checkRefusal(&out, o.Call)
	}
	return out
}

func (a *Audit) checkRefusal(out *violations, c Call) {
	if c.Code == 0 || c.Code.Effect() != result.NotRun {
		return
	}
	if started := a.starts[c.Request]; len(started) > 0 {
		out.add(NotRun, c.Request, "refused with %s, but the upstreams counted %d starts", c.Code, len(started))
	}
}
