package arm

import (
	"time"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/entry/vm"
)

// reported adds the load that an upstream reports to each observation. The entry VM leaves that field
// empty, so that without this no policy would see reported load.
type reported struct {
	balancer.Policy[string]
	loads func(server string) int
}

// Observe passes the observation on with the reported load.
func (p reported) Observe(now time.Time, server string, o balancer.Observation) {
	o.ReportedLoad = p.loads(server)
	p.Policy.Observe(now, server, o)
}

// strict counts a refusal for load as a failure, so that load can eject a replica.
type strict struct {
	balancer.Policy[string]
}

// Observe passes a refusal on as a failure.
func (p strict) Observe(now time.Time, server string, o balancer.Observation) {
	o.Shed = false
	p.Policy.Observe(now, server, o)
}

// unqueued reports no queue, so that hedges are sent to replicas of a busy service too.
type unqueued struct {
	vm.Chooser
}

// HasQueue returns false.
func (unqueued) HasQueue(string) bool {
	return false
}
