package replica

import (
	"time"

	"pistachioshore.dev/route"
	"pistachioshore.dev/table"
)

// requestLimit is the limit that an upstream has named for the requests of all VMs together.
type requestLimit struct {
	rate float64 // requests a second; 0 if it has named none
}

// RecordLimit records the number of requests a second that an upstream takes from all VMs together, 0 for no limit, as a
// response says. It reports whether the upstream has begun or ceased to name a limit.
func (t *Table) RecordLimit(now time.Time, s route.Server, rate float64) bool {
	return table.WithResult(t.state, func(st *state) bool {
		r, ok := st.replicas[s.ID]
		if !ok || !r.server.StartedAt.Equal(s.StartedAt) {
			return false // about an earlier start
		}
		changed := (r.limit.rate == 0) != (rate == 0)
		r.limit.rate = rate
		return changed
	})
}
